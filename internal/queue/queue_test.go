package queue_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"

	"dogwoodfold/internal/queue"
)

const (
	largestCost = 100
	limit       = 24
)

// weights holds the weights of the customers by name.
var weights = map[string]float64{"a": 1, "b": 1, "c": 2, "d": 4}

func drawItem(t *rapid.T, value int) queue.Item[int] {
	customer := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "customer")
	return queue.Item[int]{
		Value:    value,
		Customer: customer,
		Weight:   weights[customer],
		Batch:    rapid.Bool().Draw(t, "batch"),
		Cost:     rapid.IntRange(1, largestCost).Draw(t, "cost"),
	}
}

// TestEachCallLeavesOnce checks that each call leaves the queue once, that the
// queue stays within its limit, and that Len and TotalCost are correct.
func TestEachCallLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](limit)
		waiting := make(map[int]queue.Item[int])
		leave := func(item queue.Item[int]) {
			if _, ok := waiting[item.Value]; !ok {
				t.Fatalf("call %d left the queue but was not waiting", item.Value)
			}
			delete(waiting, item.Value)
		}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if item, ok := q.Pop(); ok {
					leave(item)
					q.RecordUsage(item, rapid.IntRange(0, item.Cost).Draw(t, "used"))
				}
			case 1:
				k := rapid.IntRange(2, 9).Draw(t, "divisor")
				for _, item := range q.Remove(func(i queue.Item[int]) bool { return i.Value%k == 0 }) {
					leave(item)
				}
			default:
				item := drawItem(t, step)
				displaced, ok := q.Push(item)
				for _, d := range displaced {
					leave(d)
				}
				if ok {
					waiting[item.Value] = item
				}
			}
			cost := 0
			for _, item := range waiting {
				cost += item.Cost
			}
			if q.Len() != len(waiting) || q.TotalCost() != cost || q.Len() > limit {
				t.Fatalf("Len is %d and TotalCost %d, want %d and %d, and at most %d calls",
					q.Len(), q.TotalCost(), len(waiting), cost, limit)
			}
		}
	})
}

// TestFairnessBetweenBacklogged bounds the difference in weighted tokens served
// between any two customers that always have waiting calls. One of the
// customers uses fewer tokens than expected.
func TestFairnessBetweenBacklogged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRunning = 4
		q := queue.New[int](limit)
		served := make(map[string]float64)
		var running []queue.Item[int]
		push := func(name string) {
			q.Push(queue.Item[int]{
				Customer: name,
				Weight:   weights[name],
				Cost:     rapid.IntRange(1, largestCost).Draw(t, "cost"),
			})
		}
		for name := range weights {
			push(name)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			item, _ := q.Pop()
			push(item.Customer)
			running = append(running, item)
			served[item.Customer] += float64(item.Cost) / item.Weight
			if len(running) > maxRunning {
				done := running[0]
				running = running[1:]
				used := done.Cost
				if done.Customer == "a" {
					used = rapid.IntRange(1, done.Cost).Draw(t, "used")
				}
				q.RecordUsage(done, used)
				served[done.Customer] -= float64(done.Cost-used) / done.Weight
			}
			for a := range weights {
				for b := range weights {
					if difference := served[a] - served[b]; difference > (maxRunning+2)*largestCost {
						t.Fatalf("customer %s is %v weighted tokens ahead of %s", a, difference, b)
					}
				}
			}
		}
	})
}

// TestWeightedShareOfQueueIsGuaranteed checks that a call of a customer within
// its weighted share of the queue is neither refused nor displaced by another
// customer.
func TestWeightedShareOfQueueIsGuaranteed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](limit)
		totalWeight := 0.0
		for _, w := range weights {
			totalWeight += w
		}
		calls := make(map[string]int)
		withinShare := func(name string, n int) bool { return float64(n) <= limit*weights[name]/totalWeight }
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "pop") == 0 {
				if item, ok := q.Pop(); ok {
					calls[item.Customer]--
				}
				continue
			}
			item := drawItem(t, step)
			if rapid.Bool().Draw(t, "flood") {
				item.Customer, item.Weight = "a", weights["a"]
			}
			displaced, ok := q.Push(item)
			if !ok && withinShare(item.Customer, calls[item.Customer]+1) {
				t.Fatalf("a call of customer %s was refused while it had %d calls in a queue of %d",
					item.Customer, calls[item.Customer], limit)
			}
			if ok {
				calls[item.Customer]++
			}
			for _, d := range displaced {
				if d.Customer != item.Customer && withinShare(d.Customer, calls[d.Customer]) {
					t.Fatalf("customer %s lost one of its %d calls in a queue of %d", d.Customer, calls[d.Customer], limit)
				}
				calls[d.Customer]--
			}
		}
	})
}

// TestBatchFloor bounds the interactive work served while a batch call waits,
// and checks that batch calls get no more than a tenth of the tokens while
// interactive calls wait.
func TestBatchFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](limit)
		push := func(batch bool) {
			q.Push(queue.Item[int]{
				Customer: fmt.Sprint(batch),
				Batch:    batch,
				Cost:     rapid.IntRange(1, largestCost).Draw(t, "cost"),
			})
		}
		push(true)
		push(false)
		var interactive, batch, sinceBatch float64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			item, _ := q.Pop()
			push(item.Batch)
			if item.Batch {
				batch += float64(item.Cost)
				sinceBatch = 0
				if batch > interactive/9+2*largestCost {
					t.Fatalf("batch calls got %v of %v tokens", batch, batch+interactive)
				}
				continue
			}
			interactive += float64(item.Cost)
			sinceBatch += float64(item.Cost)
			if sinceBatch > 9*largestCost+largestCost {
				t.Fatalf("a batch call still waits after %v interactive tokens", sinceBatch)
			}
		}
	})
}

// TestNoCustomerStarves checks that a single call of a customer is served after
// a bounded amount of work while other customers keep the queue full.
func TestNoCustomerStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](limit)
		fill := func(step int) {
			for q.Len() < limit {
				item := drawItem(t, step)
				if item.Customer == "b" {
					item.Customer = "a"
				}
				item.Weight = weights[item.Customer]
				item.Batch = false
				q.Push(item)
			}
		}
		fill(0)
		single := queue.Item[int]{
			Value:    -1,
			Customer: "b",
			Weight:   weights["b"],
			Cost:     largestCost,
		}
		ahead := q.CostAhead(single)
		if _, ok := q.Push(single); !ok {
			t.Fatal("the call of customer b was refused")
		}
		work := 0
		for step := 1; ; step++ {
			item, _ := q.Pop()
			if item.Value == single.Value {
				break
			}
			work += item.Cost
			fill(step)
			// Each of the three other customers may be ahead by one more call.
			if bound := ahead + 3*largestCost; work > bound {
				t.Fatalf("call still waits after %d tokens, want at most %d", work, bound)
			}
		}
	})
}

// TestIdleCustomerAccruesNoCredit checks that a customer that returns after
// being idle takes turns with a busy one, rather than being served first for
// the time it was idle.
func TestIdleCustomerAccruesNoCredit(t *testing.T) {
	q := queue.New[int](limit)
	push := func(name string, value int) {
		q.Push(queue.Item[int]{
			Value:    value,
			Customer: name,
			Cost:     10,
		})
	}
	push("b", 0)
	q.Pop()
	for range 100 {
		push("a", 0)
		q.Pop()
	}
	got := ""
	for range 4 {
		push("a", 0)
		push("b", 0)
	}
	for range 6 {
		item, _ := q.Pop()
		got += item.Customer
	}
	if got != "ababab" && got != "bababa" {
		t.Errorf("served %s, want the customers to take turns", got)
	}
}

// BenchmarkPushPop measures pushing and popping one call and recording its
// usage, in a nearly full queue.
func BenchmarkPushPop(b *testing.B) {
	for _, customers := range []int{5, 100} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			q := queue.New[int](256)
			i := 0
			push := func() {
				i++
				q.Push(queue.Item[int]{
					Value:    i,
					Customer: fmt.Sprint(i % customers),
					Cost:     100 + i%400,
				})
			}
			for range 255 {
				push()
			}
			for b.Loop() {
				push()
				item, _ := q.Pop()
				q.RecordUsage(item, 100)
			}
		})
	}
}
