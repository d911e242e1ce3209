package capacity

import (
	"fmt"
	"net"
	"time"
)

// measureSockets measures the time to send and to receive a datagram on loopback.
func measureSockets(f fleet, _ ProgressFunc) ([]Row, []Event) {
	cost, err := measureDatagramTime()
	if err != nil {
		return nil, []Event{{Name: "datagrams on loopback", Result: "not measured: " + err.Error()}}
	}
	return nil, []Event{{
		Name:      "datagrams on loopback, " + f.name,
		Result:    fmt.Sprintf("%v for each one sent and received, beside the core's time", cost.Round(10*time.Nanosecond)),
		Mechanism: "one UDP socket a host",
	}}
}

// measureDatagramTime returns the mean time to send and to receive one datagram.
func measureDatagramTime() (time.Duration, error) {
	const rounds = 20_000
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	defer func() { _ = receiver.Close() }()
	sender, err := net.DialUDP("udp", nil, receiver.LocalAddr().(*net.UDPAddr))
	if err != nil {
		return 0, err
	}
	defer func() { _ = sender.Close() }()
	buffer := make([]byte, 1200)
	if err := receiver.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		return 0, err
	}
	start := time.Now()
	for range rounds {
		if _, err := sender.Write(buffer[:200]); err != nil {
			return 0, err
		}
		if _, err := receiver.Read(buffer); err != nil {
			return 0, err
		}
	}
	return time.Since(start) / rounds, nil
}
