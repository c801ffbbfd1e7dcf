package testbed

import (
	"net"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
)

// Between the choice of an address and the start of a process on it, other connections and
// listeners get ports from the kernel, and other tests choose addresses. Guards against a
// process that cannot bind its address.
func TestReservedAddressStaysFree(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[string]bool{}
	for range 200 {
		reserved, err := ReserveAddress()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer reserved.Release()
		g.Expect(seen[reserved.Address]).To(gomega.BeFalse(), "an address is reserved once")
		seen[reserved.Address] = true
		_, port, err := net.SplitHostPort(reserved.Address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n, err := strconv.Atoi(port)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.BeNumerically("<", firstEphemeralPort()))
		for range 5 {
			other, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = other.Close() }()
			g.Expect(other.Addr().String()).NotTo(gomega.Equal(reserved.Address))
		}
		g.Expect(bindable(reserved.Address)).To(gomega.BeTrue())
	}
}
