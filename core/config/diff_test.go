package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

// accounts returns a section of n accounts in which the account in the middle has the given rate.
func accounts(n int, rate float64) []byte {
	section := account.Section{}
	for i := range n {
		section.Accounts = append(section.Accounts, account.Account{
			ID: fmt.Sprintf("account-%05d", i), KeyHashes: []string{account.HashKey(fmt.Sprint("key", i))},
			RatePerSecond: float64(100 + i%50), Burst: 50, Weight: 1})
	}
	section.Accounts[n/2].RatePerSecond = rate
	section.Accounts[n/2].KeyHashes = []string{account.HashKey(fmt.Sprint("new", rate))}
	value, err := json.Marshal(section)
	if err != nil {
		panic(err)
	}
	return value
}

// Guards against a difference that grows with the section instead of with the change.
func TestDiffIsSmallAndExact(t *testing.T) {
	for _, n := range []int{1, 100, 1000, 7000} {
		base, target := accounts(n, 1), accounts(n, 2)
		diff, err := config.Diff(base, target)
		assert.NilError(t, err)
		assert.Assert(t, len(diff) < 1024, "%d accounts: %d bytes", n, len(diff))
		got, err := config.Patch(base, diff)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, target))
	}
}

func BenchmarkDiff(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		base, target := accounts(n, 1), accounts(n, 2)
		diff, err := config.Diff(base, target)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("compute-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Diff(base, target); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(diff)), "diffBytes")
			b.ReportMetric(float64(len(target)), "valueBytes")
		})
		b.Run(fmt.Sprintf("patch-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Patch(base, diff); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSnapshotWith(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		value := accounts(n, 1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := (&fleet.Snapshot{}).With(fleet.Accounts, 1, value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
