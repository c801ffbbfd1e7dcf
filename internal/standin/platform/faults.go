package platform

import (
	"sort"
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Outage is the way in which the platform refuses calls.
type Outage string

// Outages of the platform.
const (
	// OutageNone serves calls as usual.
	OutageNone Outage = ""
	// Outage503 answers each call with status 503.
	Outage503 Outage = "503"
	// OutageClose closes each connection without an answer.
	OutageClose Outage = "close"
)

// Faults are the faults that the platform injects. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMs delays the execution of each call, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is the number of writes that take effect but whose connection is
	// closed without an answer. Each such write decrements it. A negative number
	// affects all writes.
	LoseAnswers int `json:"loseAnswers"`
	// EndWatches ends open watches, and new ones as soon as they are opened.
	EndWatches bool `json:"endWatches"`
	// SkipEvents is the number of events that each watch omits after the fault was
	// set.
	SkipEvents int `json:"skipEvents"`
	// FreezeInstances makes calls return the instance list as it was when the fault
	// was set, whatever has changed since.
	FreezeInstances bool `json:"freezeInstances"`
}

// faultState holds the faults, and a generation that increases whenever they are set.
type faultState struct {
	mu         sync.Mutex
	faults     Faults
	generation int
	changed    chan struct{}
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

// get returns the faults, their generation, and a channel that is closed when faults
// are set again.
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

// consumeLostAnswer reports whether to lose the answer of a write, and decrements
// LoseAnswers if it does.
func (f *faultState) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers > 0 {
		f.faults.LoseAnswers--
		return true
	}
	return f.faults.LoseAnswers < 0
}

// instanceList holds the current instances, and the copy to return while the list is
// frozen.
type instanceList struct {
	mu         sync.Mutex
	current    map[string]platform.ListedInstance
	frozenCopy []platform.ListedInstance
	isFrozen   bool
}

func newInstanceList() *instanceList {
	return &instanceList{current: map[string]platform.ListedInstance{}}
}

func (l *instanceList) set(instance platform.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[instance.Name] = instance
}

func (l *instanceList) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, name)
}

// setFrozen freezes the list as it is, or ends the freeze.
func (l *instanceList) setFrozen(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if frozen && !l.isFrozen {
		l.frozenCopy = l.sorted()
	}
	l.isFrozen = frozen
}

func (l *instanceList) get() []platform.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFrozen {
		return l.frozenCopy
	}
	return l.sorted()
}

// sorted returns the current instances sorted by name. The caller holds the lock.
func (l *instanceList) sorted() []platform.ListedInstance {
	instances := make([]platform.ListedInstance, 0, len(l.current))
	for _, instance := range l.current {
		instances = append(instances, instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
	return instances
}
