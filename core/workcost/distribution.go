package workcost

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// lowestBucketMs is the upper bound of the lowest bucket; each further one is larger by the factor 2^(1/bucketsPerOctave).
	// The highest bucket ends at about three minutes.
	lowestBucketMs   = 0.25
	bucketsPerOctave = 2
	bucketCount      = 40
	// maxBucketTotal is the number of samples at which all counts are halved, so that the quantile follows a change.
	maxBucketTotal = 256
	// minSampleWeight is the lowest weight of a new sample in the mean.
	minSampleWeight = 0.05
)

// distribution is the distribution of the recent samples of one key.
type distribution struct {
	meanMs  float64
	samples int
	updated clock.Millis
	counts  [bucketCount]float32
	total   float32
}

func (d *distribution) add(ms float64, now clock.Millis) {
	d.samples++
	d.meanMs += max(minSampleWeight, 1/float64(d.samples)) * (ms - d.meanMs)
	d.updated = now
	d.counts[bucketOf(ms)]++
	if d.total++; d.total < maxBucketTotal {
		return
	}
	for i := range d.counts {
		d.counts[i] /= 2
	}
	d.total /= 2
}

func bucketOf(ms float64) int {
	if ms <= lowestBucketMs {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(bucketsPerOctave*math.Log2(ms/lowestBucketMs))))
}

// quantileMs returns the upper bound of the bucket that contains the quantile, or 0 without samples.
func (d *distribution) quantileMs(q float32) float64 {
	sum := float32(0)
	for i, n := range d.counts {
		if sum += n; n > 0 && sum >= q*d.total {
			return lowestBucketMs * math.Exp2(float64(i)/bucketsPerOctave)
		}
	}
	return 0
}
