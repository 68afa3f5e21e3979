package split_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/split"
)

// Guards against shares that only hold over many requests, and against nodes that all start with the same service.
func TestSharesHoldOverFewRequests(t *testing.T) {
	r := route.Route{Prefix: "/a/", Split: []route.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	firstChoices := make(map[string]int)
	for seed := range uint64(200) {
		s := split.New(rand.New(rand.NewPCG(seed, 0)))
		counts := make(map[string]int)
		for i := range 30 {
			service := s.Choose(r)
			if i == 0 {
				firstChoices[service]++
			}
			counts[service]++
		}
		assert.Assert(t, math.Abs(float64(counts["y"])-3) <= 1, "seed %d: %v", seed, counts)
	}
	assert.Assert(t, firstChoices["y"] > 5 && firstChoices["y"] < 60, firstChoices)
	assert.Equal(t, split.New(rand.New(rand.NewPCG(1, 1))).Choose(route.Route{Service: "z"}), "z")
}
