package split_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/split"
)

// Guards against shares that are only kept over many requests, or that all nodes begin with the same service.
func TestSharesHoldOverFewRequests(t *testing.T) {
	r := route.Route{Prefix: "/a/", Split: []route.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	first := make(map[string]int)
	for seed := range uint64(200) {
		s := split.New(rand.New(rand.NewPCG(seed, 0)))
		counts := make(map[string]int)
		for i := range 30 {
			service := s.Choose(r)
			if i == 0 {
				first[service]++
			}
			counts[service]++
		}
		assert.Assert(t, math.Abs(float64(counts["y"])-3) <= 1, "seed %d: %v", seed, counts)
	}
	assert.Assert(t, first["y"] > 5 && first["y"] < 60, first)
	assert.Equal(t, split.New(rand.New(rand.NewPCG(1, 1))).Choose(route.Route{Service: "z"}), "z")
}
