package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections from one entry to another. While it is cut, it resets them, as a cut of the kind "reset" does.
type proxy struct {
	target string
	mu     sync.Mutex
	cut    bool
	open   map[net.Conn]bool
}

func startProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(c)
		}
	}()
	return p, nil
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.open {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// add registers a connection; it resets it and returns false if the proxy is cut.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		reset(c)
		return false
	}
	p.open[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	_ = c.Close()
}

func (p *proxy) connect(c net.Conn) {
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	s, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil || !p.add(s) {
		return
	}
	defer p.remove(s)
	done := make(chan struct{}, 2)
	move := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go move(s, c)
	go move(c, s)
	<-done
}
