package rig

import (
	"fmt"
	"net"
	"sync"
)

// Ports lie below the usual ephemeral range (32768 and up), so that no outgoing connection occupies the port of a
// process that is being restarted.
const (
	firstPort = 20000
	lastPort  = 31999
)

// portAllocator tries the ports in order, so that this process does not get a port twice until all have been tried.
var portAllocator struct {
	sync.Mutex
	next int
}

// SeedPorts sets the first port to try. Processes that run at the same time should use different seeds.
func SeedPorts(seed uint64) {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	portAllocator.next = int(seed % (lastPort - firstPort + 1))
}

// FreeAddress returns a loopback address whose port was free when it was tried.
func FreeAddress() (string, error) {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range lastPort - firstPort + 1 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portAllocator.next)
		portAllocator.next = (portAllocator.next + 1) % (lastPort - firstPort + 1)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", fmt.Errorf("rig: no free port from %d to %d", firstPort, lastPort)
}
