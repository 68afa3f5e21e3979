package quota_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
)

// Guards against an account that gets more than its rate and burst in some window while it sends several times its rate.
func TestBucketBoundsEveryWindow(t *testing.T) {
	const seed = 11
	t.Logf("seed=%d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	rate := quota.Rate{PerSecond: 40, Burst: 25}
	b := quota.NewBucket(rate, 25, 0)
	var granted []clock.Millis
	for now := clock.Millis(0); now < 20_000; now += clock.Millis(random.IntN(8)) {
		for range b.Take(random.IntN(3), now) {
			granted = append(granted, now)
		}
	}
	for i := range granted {
		for j := i; j < len(granted); j++ {
			window := float64(granted[j]-granted[i]) / 1000
			assert.Assert(t, float64(j-i+1) <= rate.PerSecond*window+rate.Burst+1, "window of %v s", window)
		}
	}
	assert.Assert(t, len(granted) >= 20*40)
}

// Guards against a share that is so small that its bucket never grants a token.
func TestBucketOfLessThanOneTokenStillGrants(t *testing.T) {
	b := quota.NewBucket(quota.Rate{PerSecond: 2, Burst: 0.5}, 0.5, 0)
	granted := 0
	for now := clock.Millis(0); now < 10_000; now += 10 {
		granted += b.Take(1, now)
	}
	assert.Assert(t, granted >= 18 && granted <= 21, granted)
}

// Guards against tokens that were drawn in a quiet period and are used much later, on top of tokens drawn since.
func TestCachedTokensExpire(t *testing.T) {
	var c quota.TokenCache
	c.Add(3, 0)
	assert.Assert(t, c.RecordAndTake(500))
	assert.Assert(t, !c.RecordAndTake(1000))
	c.Add(1, 1000)
	assert.Assert(t, c.RecordAndTake(1001))
	assert.Assert(t, !c.RecordAndTake(1002))
}

// Guards against an account with a steady rate that waits for a draw at each request.
func TestPrefetchFollowsDemand(t *testing.T) {
	var c quota.TokenCache
	for now := clock.Millis(0); now < 5000; now += 10 {
		c.RecordAndTake(now)
	}
	prefetched := c.Prefetch(5000)
	assert.Assert(t, prefetched >= 15 && prefetched <= 25, prefetched)
	assert.Equal(t, c.Prefetch(20_000), 0)
}

// Guards against an account that gets its burst again from each node to which the ownership of its bucket moves.
func TestMovedOwnershipGrantsNoSecondBurst(t *testing.T) {
	rate := quota.Rate{PerSecond: 100, Burst: 100}
	nodes := []*quota.OwnedBucket{quota.NewOwnedBucket(rate, 0, 10_000), quota.NewOwnedBucket(rate, 0, 10_000)}
	granted := 0
	owner, movedAt := 0, clock.Millis(0)
	for now := clock.Millis(10_000); now < 15_000; now += 10 {
		if now%2000 == 0 {
			owner, movedAt = 1-owner, now
		}
		n, _ := nodes[owner].Take(quota.Draw{Need: 10, Urgent: true}, rate, movedAt, now)
		granted += n
	}
	assert.Assert(t, granted <= 100*5+100+1, granted)
	assert.Assert(t, granted >= 450, granted)
}

// Guards against an owner that drops its tokens because some other node has joined or left.
func TestActiveOwnerKeepsItsTokensWhenOtherNodesChange(t *testing.T) {
	rate := quota.Rate{PerSecond: 100, Burst: 100}
	o := quota.NewOwnedBucket(rate, 0, 10_000)
	for now := clock.Millis(10_000); now < 12_000; now += 100 {
		o.Take(quota.Draw{Need: 1}, rate, 0, now)
	}
	n, _ := o.Take(quota.Draw{Need: 80, Urgent: true}, rate, 11_950, 12_000)
	assert.Equal(t, n, 80)
}

// Guards against operations that are refused while lookups of the same account are admitted. The account sends twice its
// rate, and a third of its requests are operations.
func TestLookupsAreRefusedBeforeOperations(t *testing.T) {
	rate := quota.Rate{PerSecond: 100, Burst: 100}
	o := quota.NewOwnedBucket(rate, 0, 10_000)
	admittedLookups, admittedOperations, offeredOperations := 0, 0, 0
	for now := clock.Millis(10_000); now < 20_000; now += 5 {
		urgent := now%15 == 0
		n, _ := o.Take(quota.Draw{Need: 1, Urgent: urgent}, rate, 0, now)
		switch {
		case urgent:
			offeredOperations++
			admittedOperations += n
		default:
			admittedLookups += n
		}
	}
	assert.Equal(t, admittedOperations, offeredOperations)
	assert.Assert(t, admittedLookups >= 380, "lookups must get what operations leave: %d", admittedLookups)
	assert.Assert(t, admittedLookups+admittedOperations <= 100*10+100+1)
}

// Guards against a share below one token whose reserve for operations leaves nothing to lookups.
func TestShareBelowOneTokenServesLookups(t *testing.T) {
	rate := quota.Rate{PerSecond: 2, Burst: 0.5}
	o := quota.NewOwnedBucket(rate, 0, 10_000)
	granted := 0
	for now := clock.Millis(10_000); now < 20_000; now += 10 {
		n, _ := o.Take(quota.Draw{Need: 1}, rate, 0, now)
		granted += n
	}
	assert.Assert(t, granted >= 15 && granted <= 21, granted)
}

// Guards against a token that is lost when its request is refused elsewhere.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	var c quota.TokenCache
	c.Add(1, 0)
	assert.Assert(t, c.RecordAndTake(10))
	c.Return(20)
	assert.Assert(t, c.RecordAndTake(30))
	assert.Assert(t, !c.RecordAndTake(40))
}

// Guards against a reserve for operations that leaves nothing to lookups when the burst is small, whatever the load.
func TestReserveOfASmallBurstLeavesLookupsAToken(t *testing.T) {
	for _, burst := range []float64{1, 1.1, 1.25, 1.5, 3} {
		rate := quota.Rate{PerSecond: 2, Burst: burst}
		o := quota.NewOwnedBucket(rate, 0, 10_000)
		granted := 0
		for now := clock.Millis(10_000); now < 20_000; now += 10 {
			n, _ := o.Take(quota.Draw{Need: 1}, rate, 0, now)
			granted += n
		}
		assert.Assert(t, granted >= 19, "burst %v: %d of 20 lookups", burst, granted)
	}
}
