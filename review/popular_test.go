package review

import (
	"fmt"
	"net/http"
	"time"
)

const (
	crashAfter = 12 * time.Second
	faultAfter = 14 * time.Second
	crashTime  = 4500 * time.Millisecond
	downTime   = 1300 * time.Millisecond
)

func init() { cases["popular"] = playPopular }

// playPopular asks for the records of lots; five in six clients ask for the same lot. Then comes the final fault: a version of the
// configuration is acknowledged, and all processes of the system are killed and start again. With trouble, all replicas of the service
// crash two seconds before, and are back after 4.5 s. The rule is broken if less than a quarter of the requests is served that are sent
// later than recoveryS after the machines are back, though a quarter or more was before the final fault.
func playPopular(s *site) (broken []string, err error) {
	if err := s.startLotDesk("idempotent", 6000, func(_ int, r *replica) { r.work = 160 * time.Millisecond }); err != nil {
		return nil, err
	}
	began := time.Now()
	faults := make(chan error, 1)
	var fault, back time.Time
	go func() {
		time.Sleep(crashAfter)
		if s.trouble {
			for _, r := range s.replicas {
				go r.crash(crashTime)
			}
		}
		time.Sleep(faultAfter - crashAfter)
		err := s.configure(2, lotRoute("idempotent", 6000))
		fault = time.Now()
		for _, i := range s.instances {
			s.kill(i)
		}
		time.Sleep(downTime)
		for _, i := range s.instances {
			if startErr := s.startInstance(i, false); startErr != nil {
				err = startErr
			}
		}
		back = time.Now()
		faults <- err
	}()
	type sent struct {
		at     time.Time
		path   string
		served bool
	}
	var requests []sent
	s.traffic(22.5, 50*time.Second, func(k int) clientRequest {
		q := clientRequest{method: http.MethodGet, path: "/lot/2f", limit: 6 * time.Second}
		if k%6 == 0 {
			q.path = fmt.Sprintf("/lot/%x", 1000+k)
		}

		return q
	}, func(q clientRequest, a clientAnswer) {
		requests = append(requests, sent{at: q.at, path: q.path, served: a.status == http.StatusOK && a.err == nil})
	})
	if err := <-faults; err != nil {
		return nil, err
	}
	var before, servedBefore, after, servedAfter, otherAfter, otherServed float64
	for _, q := range requests {
		served := 0.0
		if q.served {
			served = 1
		}
		switch {
		case q.at.Before(fault):
			before, servedBefore = before+1, servedBefore+served
		case q.at.After(back.Add(recovery)):
			after, servedAfter = after+1, servedAfter+served
			if q.path != "/lot/2f" {
				otherAfter, otherServed = otherAfter+1, otherServed+served
			}
		}
	}
	s.record.line("before the final fault, at %.1f s, %.0f of %.0f requests were served", fault.Sub(began).Seconds(), servedBefore, before)
	s.record.line("later than recoveryS after the machines are back, %.0f of %.0f are served; of those for other lots, %.0f of %.0f",
		servedAfter, after, otherServed, otherAfter)
	if servedAfter < after/4 && servedBefore >= before/4 {
		broken = append(broken, fmt.Sprintf("%.0f of %.0f requests are served after the recovery, %.0f of %.0f were before",
			servedAfter, after, servedBefore, before))
	}

	return broken, nil
}
