package workcost

import (
	"container/list"
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// MaxKeys bounds the number of keys of a Book. The least recently observed one is dropped first.
	MaxKeys = 4096
	// blendSamples is the number of samples of a key that weigh as much as the estimate of the next wider key.
	blendSamples = 4
	// minQuantileSamples is the number of samples from which the quantile of a key is used instead of the next wider key's.
	minQuantileSamples = 10
	// highQuantile is the quantile of Estimate.HighMs.
	highQuantile = 0.9
	// minSizeSamples and minSizeDifference say when a size class is informative: it has enough samples, and its mean differs from
	// the mean of its route by more than this share.
	minSizeSamples    = 16
	minSizeDifference = 0.25
	// minRefusalSamples is the number of samples of a route from which a request may be refused because of its estimate.
	minRefusalSamples = 8
	// refusalHalfLifeMs is the half-life of the estimate for refusals while no samples arrive. Without this decay, an estimate above
	// every deadline would refuse all requests of the route, so that no sample could ever correct it.
	refusalHalfLifeMs = 500
	// maxSampleMs is the highest accepted sample.
	maxSampleMs = 10 * 60 * 1000
)

// Key identifies requests that are expected to cost the same.
type Key struct {
	Service string
	Route   string
	// Size is the size class of the body; 0 stands for no body.
	Size uint8
}

// sizeClassBounds are the upper bounds of the size classes in bytes, from class 0 on.
var sizeClassBounds = [...]int{0, 1 << 10, 16 << 10, 128 << 10}

// SizeClass returns the size class of a body.
func SizeClass(bytes int) uint8 {
	for class, bound := range sizeClassBounds {
		if bytes <= bound {
			return uint8(class)
		}
	}
	return uint8(len(sizeClassBounds))
}

// Sample is the measured slot time of a request.
type Sample struct {
	// SlotMs is the time for which the request held its slot.
	SlotMs float64
	// Slowness is the factor by which the target worked more slowly than usual; values that are not plausible count as 1.
	Slowness float64
	// LowerBound is true if the request failed or was cancelled, so that a successful one may have taken longer.
	LowerBound bool
}

// Estimate is the expected slot time of a request at the usual speed.
type Estimate struct {
	MeanMs float64
	// HighMs is the 90th percentile; it is far above the mean if the route has two kinds of requests.
	HighMs float64
	// AgeMs is the time since the last sample of the route, or -1 if there is none.
	AgeMs clock.Millis
}

// Book holds the estimates of all keys.
type Book struct {
	entries map[Key]*list.Element
	// recent orders the entries by their last sample, the latest first.
	recent *list.List
}

type entry struct {
	key Key
	distribution
}

// New returns a book without samples.
func New() *Book {
	return &Book{entries: make(map[Key]*list.Element), recent: list.New()}
}

// Len returns the number of keys.
func (b *Book) Len() int {
	return len(b.entries)
}

// Observe adds the sample of a finished request.
func (b *Book) Observe(k Key, s Sample, now clock.Millis) {
	if !(s.SlotMs >= 0) || s.SlotMs > maxSampleMs {
		return
	}
	if !isPlausible(s.Slowness) {
		s.Slowness = 1
	}
	ms := s.SlotMs / s.Slowness
	// A fast failure says nothing about the duration of a successful request, and nothing at all is known before the first success.
	if expected := b.Estimate(k, now).MeanMs; s.LowerBound && (expected == 0 || ms <= expected) {
		return
	}
	b.observe(Key{Service: k.Service}, ms, s.LowerBound, now)
	b.observe(Key{Service: k.Service, Route: k.Route}, ms, s.LowerBound, now)
	if k.Size > 0 {
		b.observe(k, ms, s.LowerBound, now)
	}
}

// observe adds a sample to one key. A lower bound can only raise its estimate.
func (b *Book) observe(k Key, ms float64, lowerBound bool, now clock.Millis) {
	if d := b.get(k); lowerBound && d != nil && ms <= d.meanMs {
		return
	}
	b.entry(k).add(ms, now)
}

func (b *Book) get(k Key) *distribution {
	if element := b.entries[k]; element != nil {
		return &element.Value.(*entry).distribution
	}
	return nil
}

// entry returns the distribution of the key, which becomes the most recent one.
func (b *Book) entry(k Key) *distribution {
	if element := b.entries[k]; element != nil {
		b.recent.MoveToFront(element)
		return &element.Value.(*entry).distribution
	}
	if len(b.entries) >= MaxKeys {
		oldest := b.recent.Back()
		delete(b.entries, oldest.Value.(*entry).key)
		b.recent.Remove(oldest)
	}
	e := &entry{key: k}
	b.entries[k] = b.recent.PushFront(e)
	return &e.distribution
}

// Estimate returns the expected slot time of a request. A key with few samples is blended with the next wider one: a size class
// with its route, and a route with its service. The result is zero if the service has no samples.
func (b *Book) Estimate(k Key, now clock.Millis) Estimate {
	e := Estimate{AgeMs: -1}
	if d := b.get(Key{Service: k.Service}); d != nil {
		e.blend(d)
	}
	routeEntry := b.get(Key{Service: k.Service, Route: k.Route})
	if routeEntry == nil {
		return e
	}
	e.blend(routeEntry)
	e.AgeMs = now - routeEntry.updated
	if d := b.sizeEntry(k, routeEntry); d != nil {
		e.blend(d)
	}
	return e
}

// sizeEntry returns the distribution of the key's size class, or nil if it is not informative.
func (b *Book) sizeEntry(k Key, routeEntry *distribution) *distribution {
	if k.Size == 0 {
		return nil
	}
	d := b.get(k)
	if d == nil || d.samples < minSizeSamples || math.Abs(d.meanMs-routeEntry.meanMs) <= minSizeDifference*routeEntry.meanMs {
		return nil
	}
	return d
}

func (e *Estimate) blend(d *distribution) {
	if e.MeanMs == 0 {
		e.MeanMs = d.meanMs
	} else {
		e.MeanMs = (float64(d.samples)*d.meanMs + blendSamples*e.MeanMs) / (float64(d.samples) + blendSamples)
	}
	if d.samples >= minQuantileSamples || e.HighMs == 0 {
		e.HighMs = d.quantileMs(highQuantile)
	}
	e.HighMs = max(e.HighMs, e.MeanMs)
}

// RefusalMs returns the slot time that a request needs at least, for refusals. It is based on samples of the route alone, because
// the mean of a service whose other requests are expensive would refuse all requests of a new cheap route and never be corrected.
func (b *Book) RefusalMs(k Key, now clock.Millis) float64 {
	d := b.get(Key{Service: k.Service, Route: k.Route})
	if d == nil || d.samples < minRefusalSamples {
		return 0
	}
	if sized := b.sizeEntry(k, d); sized != nil {
		d = sized
	}
	// The decay starts only after one half-life without samples, since samples of a rarely used route are far apart.
	idleMs := float64(now-d.updated) - refusalHalfLifeMs
	return d.meanMs * math.Exp2(-max(0, idleMs)/refusalHalfLifeMs)
}
