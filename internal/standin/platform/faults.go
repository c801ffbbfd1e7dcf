package platform

import (
	"sort"
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Outage is the way in which the platform is unavailable.
type Outage string

// The ways of an outage.
const (
	// OutageNone: the platform answers.
	OutageNone Outage = ""
	// Outage503 answers each call with status 503.
	Outage503 Outage = "503"
	// OutageClose closes each connection without an answer.
	OutageClose Outage = "close"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMs delays each answer, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of writes that take effect and whose answer is
	// lost; each lost answer counts it down. A negative number loses all.
	LoseAnswers int `json:"loseAnswers"`
	// EndWatches ends open watches, and new ones as soon as they are open.
	EndWatches bool `json:"endWatches"`
	// SkipEvents is the number of events that each watch leaves out, counted
	// from the time at which the fault was set.
	SkipEvents int `json:"skipEvents"`
	// FreezeInstances keeps the instance list as it is when the fault is set.
	FreezeInstances bool `json:"freezeInstances"`
}

// faultState holds the faults, and a generation that changes with each setting.
type faultState struct {
	mu         sync.Mutex
	faults     Faults
	generation int
	changed    chan struct{}
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

// get returns the faults, their generation, and a channel that is closed when
// other faults are set.
func (f *faultState) get() (Faults, int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.generation, f.changed
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.generation++
	close(f.changed)
	f.changed = make(chan struct{})
}

// loseAnswer reports whether the answer of a write is to be lost.
func (f *faultState) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers > 0 {
		f.faults.LoseAnswers--
		return true
	}
	return f.faults.LoseAnswers < 0
}

// instanceList holds the instances, and the copy that a lagging list shows.
type instanceList struct {
	mu     sync.Mutex
	live   map[string]platform.ListedInstance
	frozen []platform.ListedInstance
	lags   bool
}

func newInstanceList() *instanceList {
	return &instanceList{live: map[string]platform.ListedInstance{}}
}

func (l *instanceList) set(instance platform.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live[instance.Name] = instance
}

func (l *instanceList) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.live, name)
}

// freeze switches the lag of the list on or off.
func (l *instanceList) freeze(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.lags {
		l.frozen = l.sorted()
	}
	l.lags = on
}

func (l *instanceList) get() []platform.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lags {
		return l.frozen
	}
	return l.sorted()
}

// sorted requires the lock.
func (l *instanceList) sorted() []platform.ListedInstance {
	instances := make([]platform.ListedInstance, 0, len(l.live))
	for _, instance := range l.live {
		instances = append(instances, instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
	return instances
}
