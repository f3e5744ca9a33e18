package quota

import "time"

// windowSlots is the number of slots that a window's span is divided into; the window
// covers up to one slot more than the span.
const windowSlots = 50

// Amount counts requests and, among them, those that begin a program.
type Amount struct{ Requests, Begins int }

// Plus adds two amounts.
func (a Amount) Plus(other Amount) Amount {
	return Amount{Requests: a.Requests + other.Requests, Begins: a.Begins + other.Begins}
}

// Minus subtracts other, down to nothing.
func (a Amount) Minus(other Amount) Amount {
	return Amount{Requests: max(a.Requests-other.Requests, 0), Begins: max(a.Begins-other.Begins, 0)}
}

// Window adds up amounts of a sliding span of time.
type Window struct {
	width time.Duration
	// newest is the number of the newest slot, counted from time 0.
	newest int64
	slots  [windowSlots + 1]Amount
	total  Amount
}

// NewWindow returns an empty window.
func NewWindow(span, now time.Duration) *Window {
	width := max(span/windowSlots, time.Millisecond)
	return &Window{width: width, newest: int64(now / width)}
}

func (w *Window) slot(number int64) *Amount { return &w.slots[number%int64(len(w.slots))] }

// advance drops what has left the span.
func (w *Window) advance(now time.Duration) {
	current := int64(now / w.width)
	if current-w.newest > int64(len(w.slots)) {
		w.newest = current - int64(len(w.slots))
	}
	for w.newest < current {
		w.newest++
		left := w.slot(w.newest)
		w.total = w.total.Minus(*left)
		*left = Amount{}
	}
}

// Total returns what was added in the span before now.
func (w *Window) Total(now time.Duration) Amount {
	w.advance(now)
	return w.total
}

// Add counts an amount at now.
func (w *Window) Add(amount Amount, now time.Duration) {
	w.advance(now)
	slot := w.slot(w.newest)
	*slot = slot.Plus(amount)
	w.total = w.total.Plus(amount)
}

// Remove takes back an amount that was added at the given time, as far as it is there
// and still counts.
func (w *Window) Remove(amount Amount, added, now time.Duration) {
	w.advance(now)
	number := int64(added / w.width)
	if number > w.newest || w.newest-number >= int64(len(w.slots)) {
		return
	}
	slot := w.slot(number)
	rest := slot.Minus(amount)
	w.total = w.total.Minus(slot.Minus(rest))
	*slot = rest
}

// Fill spreads an amount evenly over the whole span, on top of what is there.
func (w *Window) Fill(amount Amount, now time.Duration) {
	w.advance(now)
	count := len(w.slots)
	for i := range count {
		part := Amount{
			Requests: amount.Requests*(i+1)/count - amount.Requests*i/count,
			Begins:   amount.Begins*(i+1)/count - amount.Begins*i/count,
		}
		slot := w.slot(w.newest + int64(i) + 1)
		*slot = slot.Plus(part)
	}
	w.total = w.total.Plus(amount)
}

// RoomAfter returns how long it takes until what is counted has fallen by requests.
func (w *Window) RoomAfter(requests int, now time.Duration) time.Duration {
	w.advance(now)
	freed := 0
	for age := range int64(len(w.slots)) {
		oldest := w.newest - int64(len(w.slots)) + 1 + age
		freed += w.slot(oldest + int64(len(w.slots))).Requests
		if freed >= requests {
			return time.Duration(oldest+int64(len(w.slots)))*w.width - now
		}
	}
	return time.Duration(w.newest+int64(len(w.slots)))*w.width - now
}

// Slots returns what is counted by age, the newest first, for another node to go on from.
func (w *Window) Slots(now time.Duration) []Amount {
	w.advance(now)
	copied := make([]Amount, 0, len(w.slots))
	for age := range int64(len(w.slots)) {
		copied = append(copied, *w.slot(w.newest - age + int64(len(w.slots))))
	}
	return copied
}

// Merge adds what another node has counted, the newest slot first.
func (w *Window) Merge(slots []Amount, now time.Duration) {
	w.advance(now)
	for age, amount := range slots[:min(len(slots), len(w.slots))] {
		slot := w.slot(w.newest - int64(age) + int64(len(w.slots)))
		*slot = slot.Plus(amount)
		w.total = w.total.Plus(amount)
	}
}
