package loadshare_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// simulatedDomain is a failure domain of instances that exchange reports and replies on
// virtual time, one round every roundInterval.
type simulatedDomain struct {
	*GomegaWithT
	instances []*simulatedInstance
	now       time.Duration
	// sent counts the messages of the present second.
	sent int
	// cut holds pairs of instances that do not receive each other's messages.
	cut  map[[2]string]bool
	loss float64
	rng  *rand.Rand
}

type simulatedInstance struct {
	name      string
	peers     *loadshare.Peers
	startTime int64
	sequence  uint64
	cpu       uint16
	down      bool
	leaving   bool
}

const roundInterval = 100 * time.Millisecond

// bigInstances is the number of instances with the highest CPU limit, of which the relay
// and its standbys are chosen.
const bigInstances = 3

func newSimulatedDomain(t *testing.T, size int) *simulatedDomain {
	d := &simulatedDomain{GomegaWithT: NewWithT(t), cut: map[[2]string]bool{}, rng: rand.New(rand.NewPCG(1, 2))}
	for n := range size {
		cpu := uint16(19)
		if n >= size-bigInstances {
			cpu = 80
		}
		d.instances = append(d.instances, &simulatedInstance{name: fmt.Sprintf("edge-%02d", n), cpu: cpu})
		d.start(d.instances[n])
	}
	return d
}

func (d *simulatedDomain) address(name string) string {
	for n, in := range d.instances {
		if in.name == name {
			return fmt.Sprintf("127.0.0.1:%d", 7000+n)
		}
	}
	return ""
}

// start starts a process of an instance, which finds the instances that are registered so
// far.
func (d *simulatedDomain) start(in *simulatedInstance) {
	in.startTime++
	in.peers, in.sequence, in.down = loadshare.NewPeers(in.name, "north", in.cpu, in.startTime), 0, false
	in.peers.SetOwnAddress(d.address(in.name))
	for _, other := range d.instances {
		_, err := in.peers.Add(d.now, other.name, loadshare.PeerInfo{Domain: "north", Address: d.address(other.name), CPUPercent: other.cpu})
		d.Expect(err).NotTo(HaveOccurred())
	}
}

// run passes rounds of messages for the given time.
func (d *simulatedDomain) run(length time.Duration) {
	d.sent = 0
	for end := d.now + length; d.now < end; d.now += roundInterval {
		for _, in := range d.instances {
			if !in.down {
				in.peers.MarkUnreachable(d.now)
				d.sendReports(in)
			}
		}
	}
}

func (d *simulatedDomain) sendReports(in *simulatedInstance) {
	in.sequence++
	report := loadshare.Report{Instance: in.name, StartTime: in.startTime, Sequence: in.sequence, CPUPercent: in.cpu, Address: d.address(in.name), Domain: "north", Leaving: in.leaving}
	deliverReport := func(to *simulatedInstance) {
		_, _, err := to.peers.HandleReport(d.now, report)
		d.Expect(err).NotTo(HaveOccurred())
	}
	if !in.peers.Large() {
		d.send(in, in.peers.LocalTargets(d.now), deliverReport)
		return
	}
	report.Follows = loadshare.ShortHash(in.peers.Relay())
	relay, standbys := in.peers.ReportTargets(d.now)
	if relay != nil {
		d.send(in, []*net.UDPAddr{relay}, func(to *simulatedInstance) {
			deliverReport(to)
			if to.peers.Relay() != to.name {
				// The sender cannot reach the relay, or does not know it.
				d.sendView(to, []*net.UDPAddr{to.peers.Address(in.name)})
			}
		})
	}
	d.send(in, standbys, deliverReport)
	if relay == nil {
		d.sendView(in, in.peers.LocalTargets(d.now))
	}
}

func (d *simulatedDomain) sendView(in *simulatedInstance, targets []*net.UDPAddr) {
	in.sequence++
	reply := loadshare.Reply{Instance: in.name, StartTime: in.startTime, Sequence: in.sequence, CPUPercent: in.cpu, Address: d.address(in.name), Domain: "north", Leaving: in.leaving}
	view := loadshare.View{Relay: in.peers.RelayRef(), Observers: in.peers.Observers()}
	d.send(in, targets, func(to *simulatedInstance) {
		_, _, err := to.peers.HandleReply(d.now, &reply, &view)
		d.Expect(err).NotTo(HaveOccurred())
	})
}

func (d *simulatedDomain) send(from *simulatedInstance, targets []*net.UDPAddr, deliver func(to *simulatedInstance)) {
	for _, target := range targets {
		d.sent++
		to := d.instances[target.Port-7000]
		if !to.down && !d.cut[[2]string{from.name, to.name}] && !d.cut[[2]string{to.name, from.name}] && d.rng.Float64() >= d.loss {
			deliver(to)
		}
	}
}

// relays returns the instances that those which are up take for their relay, with the
// number of instances that do so.
func (d *simulatedDomain) relays() map[string]int {
	relays := map[string]int{}
	for _, in := range d.instances {
		if !in.down {
			relays[in.peers.Relay()]++
		}
	}
	return relays
}

// Load pattern: 50 instances of one failure domain, as on the users' site with 295.
// Guards against messages that grow with the square of the instances: each sends at most
// four per round, the relay one to each other instance.
func TestMessagesOfLargeDomainGrowWithItsSize(t *testing.T) {
	const size = 50
	d := newSimulatedDomain(t, size)
	d.run(2 * time.Second)
	d.Expect(d.relays()).To(Equal(map[string]int{"edge-47": size}))
	for _, in := range d.instances {
		d.Expect(in.peers.IsObserver()).To(Equal(in.cpu == 80), in.name)
	}
	d.run(time.Second)
	rounds := int(time.Second / roundInterval)
	d.Expect(d.sent).To(BeNumerically("<=", rounds*(observerMessages*size+size)))
	t.Logf("%d messages a second", d.sent)
}

// observerMessages is the number of reports of an instance per round: one to the relay
// and one to each of two standbys.
const observerMessages = 3

// Failure: the relay and its standbys are lost, at once or one after the other, and
// return. Guards against followers without a relay for longer than the detection takes
// for each lost instance, and against several relays that stay.
func TestRelayOfLargeDomainIsReplaced(t *testing.T) {
	const size = 50
	detection := loadshare.UnreachableAfter + 2*roundInterval
	for name, lost := range map[string]int{"relay": 1, "relay and one standby": 2, "all observers": 3} {
		t.Run(name, func(t *testing.T) {
			d := newSimulatedDomain(t, size)
			d.run(2 * time.Second)
			observers := d.instances[size-bigInstances:]
			for _, in := range observers[:lost] {
				in.down = true
			}
			d.run(time.Duration(lost+1) * detection)
			relays := d.relays()
			d.Expect(relays).To(HaveLen(1), "all follow the same instance")
			d.Expect(relays).NotTo(HaveKey("edge-47"))
			for _, in := range observers[:lost] {
				d.start(in)
			}
			d.run(2 * time.Second)
			d.Expect(d.relays()).To(Equal(map[string]int{"edge-47": size}))
		})
	}
}

// Failure: the relay shuts down. Guards against an instance that stays the relay until
// its process ends, and against followers that notice only when it is silent.
func TestLeavingRelayIsReplacedAtOnce(t *testing.T) {
	d := newSimulatedDomain(t, 50)
	d.run(2 * time.Second)
	leaving := d.instances[47]
	leaving.leaving = true
	leaving.peers.SetLeaving()
	d.run(4 * roundInterval)
	d.Expect(d.relays()).To(Equal(map[string]int{"edge-48": 50}))
}

// Failure: messages get lost. Guards against a change of the relay because of single lost
// messages.
func TestLossDoesNotChangeRelayOfLargeDomain(t *testing.T) {
	d := newSimulatedDomain(t, 50)
	d.run(2 * time.Second)
	d.loss = 0.025
	for range 30 {
		d.run(time.Second)
		d.Expect(d.relays()).To(Equal(map[string]int{"edge-47": 50}))
	}
}

// Failure: some instances and the relay do not reach each other. Guards against instances
// without any relay, although they reach a standby, and against a standby that sends them
// back to the relay.
func TestInstancesCutOffFromRelayFollowStandby(t *testing.T) {
	d := newSimulatedDomain(t, 50)
	d.run(2 * time.Second)
	for _, in := range d.instances[:5] {
		d.cut[[2]string{in.name, "edge-47"}] = true
	}
	d.run(3 * time.Second)
	d.Expect(d.relays()).To(Equal(map[string]int{"edge-47": 45, "edge-48": 5}))
	d.cut = map[[2]string]bool{}
	d.run(8 * time.Second)
	d.Expect(d.relays()).To(Equal(map[string]int{"edge-47": 50}))
}

// Guards against a threshold of relays that the operator's setting does not change.
func TestRelayFromIsSet(t *testing.T) {
	p := loadshare.NewPeers("b", "north", 40, 5)
	for i := range 9 {
		_, err := p.Add(0, fmt.Sprint("peer-", i), loadshare.PeerInfo{Domain: "north", Address: "127.0.0.1:9"})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
	NewWithT(t).Expect(p.Large()).To(BeTrue())
	p.SetRelayFrom(16)
	NewWithT(t).Expect(p.Large()).To(BeFalse())
}
