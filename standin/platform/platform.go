package platform

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the stand-in.
var Error = errs.Class("platform")

// ErrConflict is returned when another value was published since the expected version.
var ErrConflict = errs.Class("version conflict")

// MaxValueBytes is the largest value that the configuration service holds (1 MB).
const MaxValueBytes = 1_000_000

// AnyVersion publishes a value whatever the current version is.
const AnyVersion int64 = -1

const vmListName = "vms"

// Mode is the way in which readers are served.
type Mode string

// The modes.
const (
	Up   Mode = "up"
	Down Mode = "down"
	// Hang keeps calls waiting until the mode changes or the reader disconnects.
	Hang Mode = "hang"
	// Slow delays each call by Behaviour.DelayMs.
	Slow Mode = "slow"
	// Flapping is up in the first half of each period and down in the second.
	Flapping Mode = "flapping"
	// Stale serves the values as of Behaviour.Versions.
	Stale Mode = "stale"
)

// Behaviour is a mode with its parameters.
type Behaviour struct {
	Mode     Mode  `json:"mode"`
	DelayMs  int64 `json:"delayMs,omitempty"`
	PeriodMs int64 `json:"periodMs,omitempty"`
	// Versions are the highest versions served in the mode stale. A section without an entry is served as of
	// the time at which the mode was set.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Validate reports an unknown mode or a parameter that is out of range.
func (b Behaviour) Validate() error {
	switch b.Mode {
	case Up, Down, Hang, Stale:
		return nil
	case Slow:
		if b.DelayMs < 1 {
			return Error.New("mode slow: delayMs must be at least 1, got %d", b.DelayMs)
		}
		return nil
	case Flapping:
		if b.PeriodMs < 2 {
			return Error.New("mode flapping: periodMs must be at least 2, got %d", b.PeriodMs)
		}
		return nil
	default:
		return Error.New("unknown mode %q", b.Mode)
	}
}

// Value is one published version of a section.
type Value struct {
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`

	publishedAt time.Time
}

// Platform holds the published values and serves them to readers.
type Platform struct {
	mu        sync.Mutex
	values    map[string][]Value
	changed   chan struct{}
	behaviour Behaviour
	byReader  map[string]Behaviour
	vmListLag time.Duration
	start     time.Time
	stats     Stats
	second    int64
	inSecond  int
}

// New returns a platform without values in the mode up.
func New() *Platform {
	return &Platform{
		values:    make(map[string][]Value),
		changed:   make(chan struct{}),
		behaviour: Behaviour{Mode: Up},
		byReader:  make(map[string]Behaviour),
		start:     time.Now(),
		stats:     newStats(),
	}
}

// Publish stores value as the next version of the section and returns that version. Unless expected is
// AnyVersion, it fails with ErrConflict if the current version differs; an unpublished section has version 0.
// The value only has to be JSON, so that tests can publish sections that nodes must reject.
func (p *Platform) Publish(name string, value json.RawMessage, expected int64) (int64, error) {
	if !json.Valid(value) {
		return 0, Error.New("value of %q is not JSON", name)
	}
	if len(value) > MaxValueBytes {
		return 0, Error.New("value of %q has %d bytes, at most %d are allowed", name, len(value), MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.version(name)
	if expected != AnyVersion && expected != current {
		return current, ErrConflict.New("%q has version %d, expected %d", name, current, expected)
	}
	next := Value{Name: name, Version: current + 1, Value: value, publishedAt: time.Now()}
	p.values[name] = append(p.values[name], next)
	p.wake()
	return next.Version, nil
}

// SetBehaviour sets how a reader is served; an empty reader means all readers without their own behaviour.
func (p *Platform) SetBehaviour(reader string, b Behaviour) error {
	if err := b.Validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Mode == Stale {
		b.Versions = p.completeVersions(b.Versions)
	}
	if reader == "" {
		p.behaviour = b
	} else {
		p.byReader[reader] = b
	}
	p.wake()
	return nil
}

// ClearBehaviour serves the reader like all others again; an empty reader sets the mode up for all readers.
func (p *Platform) ClearBehaviour(reader string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reader == "" {
		p.behaviour = Behaviour{Mode: Up}
		clear(p.byReader)
	} else {
		delete(p.byReader, reader)
	}
	p.wake()
}

// SetVMListLag serves the section vms as it was the given time ago. The first published list is always visible.
func (p *Platform) SetVMListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmListLag = lag
	p.wake()
}

// Current returns the newest value whatever the mode is, for operators' tools and tests.
func (p *Platform) Current(name string) (Value, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.values[name]
	if len(history) == 0 {
		return Value{}, false
	}
	return history[len(history)-1], true
}

func (p *Platform) version(name string) int64 {
	return int64(len(p.values[name]))
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) completeVersions(chosen map[string]int64) map[string]int64 {
	versions := make(map[string]int64, len(p.values))
	for name := range p.values {
		versions[name] = p.version(name)
	}
	for name, version := range chosen {
		versions[name] = version
	}
	return versions
}

// view is what one reader is served at one moment.
type view struct {
	behaviour Behaviour
	value     Value
	found     bool
	down      bool
	// changed is closed when the view may have changed.
	changed <-chan struct{}
	// recheck is true if the view also changes with time.
	recheck bool
}

func (p *Platform) look(reader, name string) view {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	v := view{behaviour: p.behaviour, changed: p.changed}
	if own, ok := p.byReader[reader]; ok {
		v.behaviour = own
	}
	v.down = v.behaviour.Mode == Down || flappedDown(v.behaviour, now.Sub(p.start))
	v.recheck = v.behaviour.Mode == Flapping || (name == vmListName && p.vmListLag > 0)
	for i, value := range p.values[name] {
		if v.behaviour.Mode == Stale && value.Version > v.behaviour.Versions[name] {
			break
		}
		if name == vmListName && i > 0 && now.Sub(value.publishedAt) < p.vmListLag {
			break
		}
		v.value, v.found = value, true
	}
	return v
}

func flappedDown(b Behaviour, elapsed time.Duration) bool {
	if b.Mode != Flapping {
		return false
	}
	period := time.Duration(b.PeriodMs) * time.Millisecond
	return elapsed%period >= period/2
}
