package inbound

import "testing"

// ownDescriptors is what the process needs for itself: listeners, calls to the store, and what
// the runtime opens.
const ownDescriptors = 24

// largestRequest is the memory for a head of 16 KiB in lines of four bytes with a body of 256 KiB.
const largestRequest = 16<<10*headByteCost + 4<<10*headLineCost + 256<<10*(1+DecodeByteCost)

// TestBudgetsStayWithinTheProcess guards against budgets that together exceed what the process may
// use, or leave nothing for its own work.
func TestBudgetsStayWithinTheProcess(t *testing.T) {
	for _, mb := range []int64{96, 160, 184, 284, 536, 1048} {
		for _, descriptors := range []int{700, 4100, 8192, 16384} {
			b := BudgetsFor(mb*1_000_000, descriptors)
			open := b.WorkerConnections + b.Callers.Connections + b.Peers.Connections + onwardPerCall*b.OnwardCalls + 2*b.Internal.Connections
			if open+ownDescriptors > descriptors {
				t.Errorf("%d MB, %d descriptors: %d for connections", mb, descriptors, open)
			}
			memory := b.Internal.Memory * 2
			for _, x := range []Budget{b.Callers, b.Peers} {
				memory += x.Memory + int64(x.Connections)*connectionBytes
			}
			if memory > b.HeapBytes*2/3 || memory+b.JobBytes > b.HeapBytes {
				t.Errorf("%d MB, %d descriptors: %d bytes for clients and %d for jobs of a heap of %d", mb, descriptors, memory, b.JobBytes, b.HeapBytes)
			}
		}
	}
}

// TestLargestRequestFits guards against a budget that a single request inside the usual limits
// exceeds, whatever the process may use.
func TestLargestRequestFits(t *testing.T) {
	for _, mb := range []int64{0, 1, 32, 96, 284} {
		if b := BudgetsFor(mb*1_000_000, 64); !fits(0, largestRequest, 0, b.Callers.Memory) {
			t.Errorf("%d MB: a request of %d bytes does not fit into %d", mb, int64(largestRequest), b.Callers.Memory)
		}
	}
}

// TestUnknownLimitsAreBounded guards against a process without known limits that accepts anything.
func TestUnknownLimitsAreBounded(t *testing.T) {
	b := BudgetsFor(0, 0)
	if b.HeapBytes != 0 || b.WorkerConnections != 0 {
		t.Errorf("limits from nothing: %+v", b)
	}
	if b.Callers.Connections <= 0 || b.Callers.Memory <= 0 || b.OnwardCalls <= 0 {
		t.Errorf("no bounds: %+v", b)
	}
}
