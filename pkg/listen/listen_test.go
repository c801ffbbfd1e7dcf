package listen_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/listen"
)

func bindTCP(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

func occupy(g *GomegaWithT) net.Listener {
	predecessor, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	return predecessor
}

// A predecessor holds the address a moment longer. Guards against a daemon that ends.
func TestBindWaitsForAnAddressInUse(t *testing.T) {
	g := NewWithT(t)
	predecessor := occupy(g)
	var once sync.Once
	log := funcr.New(func(string, string) { once.Do(func() { _ = predecessor.Close() }) }, funcr.Options{})
	bound, err := listen.Bind(context.Background(), listen.Binder{Log: log}, "[listen] callers", predecessor.Addr().String(), bindTCP)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bound.Close()).To(Succeed())
}

// Guards against an endless wait, and against an error that does not say what to change.
func TestBindNamesTheSettingOfAnAddressInUse(t *testing.T) {
	g := NewWithT(t)
	predecessor := occupy(g)
	defer func() { _ = predecessor.Close() }()
	address := predecessor.Addr().String()
	lines := 0
	log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
	_, err := listen.Bind(context.Background(), listen.Binder{Log: log, Wait: 250 * time.Millisecond}, "[listen] callers", address, bindTCP)
	g.Expect(err).To(MatchError(syscall.EADDRINUSE))
	g.Expect(err).To(MatchError(And(ContainSubstring("[listen] callers"), ContainSubstring(address))))
	g.Expect(lines).To(Equal(1))

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = listen.Bind(ctx, listen.Binder{Log: log}, "[listen] callers", address, bindTCP)
	g.Expect(err).To(MatchError(context.Canceled))
	_, err = listen.Bind(context.Background(), listen.Binder{Log: log}, "[listen] callers", "127.0.0.1:99999", bindTCP)
	g.Expect(err).To(MatchError(ContainSubstring("[listen] callers")), "other errors are returned at once")
}
