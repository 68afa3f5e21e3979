package bench

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/standin/caller"
)

// Guards against shares that exceed the capacity or give an account more than it asks for.
func TestFairShares(t *testing.T) {
	parts := fairShares(60, map[string]share{
		"small": {weight: 1, demand: 5}, "large": {weight: 2, demand: 100}, "other": {weight: 1, demand: 100},
	})
	assert.Equal(t, parts["small"], 5.0)
	assert.Assert(t, parts["large"] > 36.6 && parts["large"] < 36.7)
	assert.Assert(t, parts["other"] > 18.3 && parts["other"] < 18.4)
	assert.Equal(t, fairShares(60, map[string]share{"one": {weight: 1, demand: 10}})["one"], 10.0)
}

var began = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

// sample is a load of 100 calls a second that take 100 ms each; ok decides which are answered.
func sample(ok func(seconds float64) bool) *analysis {
	a := &analysis{
		marks:             marks{start: at(0), before: at(1), trigger: at(5), reversal: at(10), after: at(10), end: at(18)},
		accounts:          account.Section{Accounts: []account.Account{{ID: "a", RatePerSecond: 100, Burst: 10}}},
		capacityPerSecond: 50, deepStart: make(map[string]time.Time),
	}
	for i := range 1800 {
		seconds := float64(i) / 100
		c := caller.Ended{
			Account: "a", Token: fmt.Sprint(i), Arrival: at(seconds), At: at(seconds + 0.1), Verdict: caller.Refused,
			Attempts: []caller.Attempt{{Verdict: caller.Refused}},
		}
		if ok(seconds) {
			c.Verdict, c.Attempts[0].Verdict = caller.Complete, caller.Complete
			a.deepStart[c.Token] = at(seconds + 0.05)
		}
		a.calls = append(a.calls, c)
	}
	return a
}

// Guards against a goodput that counts work outside the trigger, and against a recovery that a relapse follows.
func TestFigures(t *testing.T) {
	served := func(seconds float64) bool { return seconds < 5 || seconds >= 11 && (seconds < 12 || seconds >= 13) }
	f := sample(func(s float64) bool { return served(s) || s >= 6 && s < 8 }).figures()
	assert.Equal(t, f.capacity, 250.0)
	assert.Assert(t, f.goodput > 200 && f.goodput < 210, f.goodput)
	assert.Assert(t, f.recovered)
	assert.Assert(t, f.recovery > 2900*time.Millisecond && f.recovery <= 3100*time.Millisecond, f.recovery)
	assert.Assert(t, f.inRateRefusedRatio > 0.29 && f.inRateRefusedRatio < 0.30, f.inRateRefusedRatio)
	assert.Assert(t, f.worstAccountRatio > 0.80 && f.worstAccountRatio < 0.84, f.worstAccountRatio)
	f = sample(func(s float64) bool { return s < 5 }).figures()
	assert.Assert(t, !f.recovered)
}

// Guards against a bound that no scenario checks and against a run that passes although arrivals were left out.
func TestShortcomings(t *testing.T) {
	good := sample(func(float64) bool { return true }).figures()
	good.loaded, good.inRateRefusedRatio = newLatencies(), 0
	for _, name := range Scenarios() {
		sc, err := newScenario(name)
		assert.NilError(t, err)
		assert.DeepEqual(t, shortcomings(sc, good), []string(nil))
	}
	for _, tc := range []struct {
		scenario, figure string
		spoil            func(f *figures)
	}{
		{Surge, "goodputRatio", func(f *figures) { f.goodput = 0.94 * f.capacity }},
		{SlowDeep, "goodputRatio", func(f *figures) { f.goodput = 0.94 * f.capacity }},
		{Pair, "recoverySeconds", func(f *figures) { f.recovery = 2100 * time.Millisecond }},
		{Drain, "recoverySeconds", func(f *figures) { f.recovered = false }},
		{Surge, "worstAccountRatio", func(f *figures) { f.worstAccountRatio = 0.89 }},
		{Noisy, "worstAccountRatio", func(f *figures) { f.worstAccountRatio = 0.97 }},
		{Noisy, "inRateRefusedRatio", func(f *figures) { f.inRateRefusedRatio = 0.0011 }},
		{Steady, "addedP99Ms", func(f *figures) { _ = f.loaded.through.RecordValue(1000) }},
		{Partition, "duplicates", func(f *figures) { f.duplicates = 1 }},
		{Steady, "falseNotRun", func(f *figures) { f.falseNotRun = 1 }},
		{Steady, "wrongAnswers", func(f *figures) { f.wrong = 1 }},
		{Steady, "omittedArrivals", func(f *figures) { f.omitted = 1 }},
	} {
		sc, err := newScenario(tc.scenario)
		assert.NilError(t, err)
		f := good
		f.loaded = newLatencies()
		tc.spoil(&f)
		assert.DeepEqual(t, shortcomings(sc, f), []string{tc.figure})
	}
}
