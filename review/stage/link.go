package main

import (
	"net"
	"time"
)

// A link between a client and a process: linkDelay one way, and a small window, of which one is
// delivered each round trip.
const (
	linkDelay  = 3 * time.Millisecond
	linkWindow = 4 << 10
)

// dialLink connects to an address over such a link and returns the client's end. What has arrived
// is delivered to the client even if the other direction has failed.
func dialLink(address string) (net.Conn, error) {
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	if err := far.(*net.TCPConn).SetReadBuffer(linkWindow); err != nil {
		return nil, err
	}
	near, client := net.Pipe()
	go deliver(near, far)
	go send(far, near)
	return client, nil
}

// deliver passes what a process writes to the client, until the process's end is closed.
func deliver(near, far net.Conn) {
	defer far.Close()
	defer near.Close()
	b := make([]byte, linkWindow)
	for {
		n, err := far.Read(b)
		time.Sleep(2 * linkDelay)
		if n > 0 {
			if _, err := near.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// send passes what the client writes to a process. After the process has closed its end it drops
// what the client still writes.
func send(far, near net.Conn) {
	b := make([]byte, linkWindow)
	for isOpen := true; ; {
		n, err := near.Read(b)
		if err != nil {
			far.Close()
			return
		}
		time.Sleep(linkDelay)
		if !isOpen {
			continue
		}
		_, err = far.Write(b[:n])
		isOpen = err == nil
	}
}
