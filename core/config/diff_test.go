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

// accountsValue returns a section of n accounts in which the middle account has the given rate.
func accountsValue(n int, rate float64) []byte {
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

// Guards against diffs that grow with the section instead of with the change, and against inexact ones.
func TestDiffIsSmallAndExact(t *testing.T) {
	for _, n := range []int{1, 2, 100, 1000, 7000} {
		base, target := accountsValue(n, 1), accountsValue(n, 2)
		diff, err := config.Diff(base, target)
		assert.NilError(t, err)
		assert.Assert(t, len(diff) < 1024, "%d accounts: %d bytes", n, len(diff))
		got, err := config.Patch(base, diff)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, target))
	}
}

// Guards against sections that are too small for a useful zstd dictionary and therefore can't be sent as a diff.
func TestDiffOfTinyValues(t *testing.T) {
	for _, base := range []string{"{}", "[]", `{"accounts":[]}`} {
		for _, target := range []string{"{}", `{"accounts":[]}`, string(accountsValue(1, 1))} {
			diff, err := config.Diff([]byte(base), []byte(target))
			assert.NilError(t, err)
			got, err := config.Patch([]byte(base), diff)
			assert.NilError(t, err)
			assert.Equal(t, string(got), target)
		}
	}
}

// Guards against a damaged or oversized diff that exhausts the memory or crashes the process.
func TestPatchRejectsMalformedDiffs(t *testing.T) {
	base := accountsValue(10, 1)
	huge, err := config.Diff(base, make([]byte, config.MaxValueBytes+1))
	assert.NilError(t, err)
	for _, diff := range [][]byte{[]byte("no zstd frame"), huge, huge[:len(huge)/2]} {
		_, err := config.Patch(base, diff)
		assert.ErrorContains(t, err, "diff does not apply")
	}
}

func BenchmarkDiff(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		base, target := accountsValue(n, 1), accountsValue(n, 2)
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

// BenchmarkApply measures a store that receives one changed account as a diff, and for comparison the decoding alone.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		base, target := accountsValue(n, 1), accountsValue(n, 2)
		server := config.New()
		server.Apply(fleet.Accounts, 1, base, platformSource, 0)
		server.Apply(fleet.Accounts, 2, target, platformSource, 0)
		updates := server.UpdatesFor([]config.SectionVersion{{Name: fleet.Accounts, Version: 1}})
		b.Run(fmt.Sprintf("difference-%d", n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := config.New()
				s.Apply(fleet.Accounts, 1, base, platformSource, 0)
				b.StartTimer()
				if got := s.ApplyUpdates(updates, platformSource, 0); got[0].Outcome != config.Applied {
					b.Fatal(got[0].Err)
				}
			}
			b.ReportMetric(float64(len(updates[0].Value)), "diffBytes")
		})
		b.Run(fmt.Sprintf("decode-%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := (&fleet.Snapshot{}).WithSection(fleet.Accounts, 1, target); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
