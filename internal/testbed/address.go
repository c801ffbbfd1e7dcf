package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

const (
	// firstReservedPort is the lowest port that ReserveAddress hands out. The ports end
	// where the range begins from which the kernel takes those of outgoing connections.
	firstReservedPort = 12000
	// defaultEphemeralPort is the start of that range where it cannot be read.
	defaultEphemeralPort = 32768
	ephemeralRangeFile   = "/proc/sys/net/ipv4/ip_local_port_range"
)

// ReservedAddress is an address on loopback that no other process of the tests uses, and
// that the kernel gives to no outgoing connection, so that processes can be started on it
// at any time, and again after they ended.
type ReservedAddress struct {
	Address string
	lock    *os.File
}

// Release gives the address back. It is also given back when the process ends.
func (r ReservedAddress) Release() { _ = r.lock.Close() }

var errNoFreePort = errors.New("no port is free below the range of outgoing connections")

// ReserveAddress reserves an address for TCP and UDP.
func ReserveAddress() (ReservedAddress, error) {
	directory := filepath.Join(os.TempDir(), "rosemarywing-test-ports")
	if err := os.MkdirAll(directory, 0o777); err != nil {
		return ReservedAddress{}, err
	}
	count := firstEphemeralPort() - firstReservedPort
	for _, offset := range rand.Perm(max(0, count)) {
		port := firstReservedPort + offset
		lock, err := lockFile(filepath.Join(directory, strconv.Itoa(port)))
		if err != nil {
			return ReservedAddress{}, err
		}
		if lock == nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if bindable(address) {
			return ReservedAddress{Address: address, lock: lock}, nil
		}
		_ = lock.Close()
	}
	return ReservedAddress{}, errNoFreePort
}

// lockFile opens and locks a file. It returns nil if another process has the lock.
func lockFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, err
	}
	return file, nil
}

// bindable reports whether no process uses the address, of the tests or another one.
func bindable(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func firstEphemeralPort() int {
	content, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return defaultEphemeralPort
	}
	first, _, _ := strings.Cut(strings.TrimSpace(string(content)), "\t")
	port, err := strconv.Atoi(first)
	if err != nil {
		return defaultEphemeralPort
	}
	return port
}
