package discovery

import (
	"context"
	"sync"
)

// gate blocks the calls of a source unless it is open.
type gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // receives a value after the gate was opened or closed
}

func newGate() gate { return gate{changed: make(chan struct{}, 1)} }

// Follow opens or closes the gate.
func (g *gate) Follow(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = on
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// isOpen reports whether the gate is open.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait blocks until the gate is open. It returns false if the context has ended.
func (g *gate) wait(ctx context.Context) bool {
	for {
		if g.isOpen() && ctx.Err() == nil {
			return true
		}
		select {
		case <-g.changed:
		case <-ctx.Done():
			return false
		}
	}
}
