package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	drainTime = 2 * time.Second
	// serveTime is how long a leaving server serves after the acknowledgement.
	serveTime = 12 * time.Second
	// The server goes down and up, a number of times in a row.
	flapPeriod = 1400 * time.Millisecond
	flaps      = 5
	clockStep  = -2400 * time.Millisecond
	stepTime   = 6 * time.Second
	// uploadRate is the number of uploads a second in the zone of the server.
	uploadRate = 20
)

// playDrain lets a server restart several times under its id, and leave later. The disruption is a
// time of day that jumps back before the last start.
func playDrain(f *fleet, trouble bool) (int, error) {
	if err := trinacria(f); err != nil {
		return failed, err
	}
	var leaving *machine
	var senders []*machine
	for _, m := range f.machine {
		switch {
		case m.zone == "agrigento" && m.service == "fieldwork":
			leaving = m
		case m.zone == "agrigento":
			senders = append(senders, m)
		}
	}
	s := leaving.server
	s.keepsID, s.downTime = true, flapPeriod/2
	if err := f.start(); err != nil {
		return failed, err
	}
	traffic(f)
	fresh := newClient(true)
	go func() {
		for k := 0; f.ctx.Err() == nil; k++ {
			m := senders[k%len(senders)]
			go f.send(fresh, m, http.MethodPost, hostStock, "/upload/photo", fmt.Sprintf("p%d", k), make([]byte, 20<<10), 1500*time.Millisecond, nil)
			time.Sleep(time.Second / uploadRate)
		}
	}()
	time.Sleep(4 * time.Second)
	for n := range flaps {
		s.crash("it goes down and up")
		if n == flaps-1 && trouble {
			s.setClock(clockStep)
			time.AfterFunc(stepTime, func() { s.setClock(0) })
		}
		time.Sleep(flapPeriod)
	}
	time.Sleep(stepTime + 2*stableTime)
	lost := f.lostRuns()
	at, ok := s.leave(serveTime)
	if !ok {
		f.say("the leaving was not acknowledged")
		return held, nil
	}
	time.Sleep(2 * time.Second)
	late := 0
	for _, r := range f.runsOf("/upload/") {
		if r.server == s.id() && r.at.Sub(at) > drainTime {
			late++
		}
	}
	f.say("%d requests reached the server later than %s after its leaving was acknowledged", late, drainTime)
	f.say("%d requests ran on the server as it ended and got no success", f.lostRuns()-lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
