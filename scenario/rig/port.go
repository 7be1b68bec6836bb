package rig

import (
	"fmt"
	"net"
	"sync"
)

// Ports are taken below the usual range of outgoing connections (32768 and up), so that no connection of a running
// process takes the port of one that is being restarted.
const (
	firstPort = 20000
	lastPort  = 31999
)

// ports hands out the ports of this process; each is handed out once.
var ports struct {
	sync.Mutex
	next int
}

// SeedPorts chooses the first port that is tried. Processes that run at the same time should use different seeds.
func SeedPorts(seed uint64) {
	ports.Lock()
	defer ports.Unlock()
	ports.next = int(seed % (lastPort - firstPort + 1))
}

// Port returns a loopback address with a free port.
func Port() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort + 1 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next)
		ports.next = (ports.next + 1) % (lastPort - firstPort + 1)
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
