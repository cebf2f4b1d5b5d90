package main

import (
	"sync"
	"time"
)

// gangTimeout is how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gangs holds the gangs that have members on runners, by task without index and run.
type gangs struct {
	mu  sync.Mutex
	all map[string]*gang
}

type gang struct {
	size    int
	present map[string]*execution
	// at is when the gang was complete; length and fails are those of its slowest member.
	at     time.Time
	length time.Duration
	fails  string
	// how is how it ended, or empty.
	how string
}

func (g *gangs) join(item *execution, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.all == nil {
		g.all = map[string]*gang{}
	}
	found, ok := g.all[item.gang]
	if !ok {
		found = &gang{size: size, present: map[string]*execution{}}
		g.all[item.gang] = found
	}
	found.present[item.task] = item
	found.length = max(found.length, item.plan.length)
	if item.plan.fails {
		found.fails = item.task
	}
	if len(found.present) == size && found.at.IsZero() && found.how == "" {
		found.at = time.Now()
	}
}

// end records that a member has ended.
func (g *gangs) end(item *execution, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if found := g.all[item.gang]; found != nil && found.how == "" && found.present[item.task] == item {
		if found.at.IsZero() {
			delete(found.present, item.task)
			return
		}
		found.how = how
	}
}

// step ends a member whose time has come. The caller holds the lock of the runner.
func (g *gangs) step(r *runner, item *execution, now time.Time) {
	g.mu.Lock()
	found := g.all[item.gang]
	how := ""
	switch {
	case found.how == "done":
		how = "done"
	case found.how != "":
		how = "broken"
	case found.at.IsZero():
		if now.Sub(item.at) > gangTimeout {
			how = "alone"
		}
	case found.length > 0 && now.Sub(found.at) >= found.length:
		switch found.fails {
		case "":
			how = "done"
		case item.task:
			how = "failed"
		}
	}
	g.mu.Unlock()
	if how != "" {
		r.finish(item, how)
	}
}
