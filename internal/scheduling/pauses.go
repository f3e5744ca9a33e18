package scheduling

import (
	"math"
	"time"
)

const (
	// pauseBins and shortestPause lay out the bins of a PauseHistory: each is
	// binsPerOctave to a doubling, from 100 ms to more than a day.
	pauseBins     = 41
	binsPerOctave = 2
	shortestPause = 100 * time.Millisecond
	// minimumRisk is how many pauses must have lasted as long as a bin before
	// something is said about it.
	minimumRisk = 8
	// evidenceOctaves is how far beyond a pause there must be evidence: a young
	// history, which has seen the short pauses only, must not pass for one in
	// which nobody returns later.
	evidenceOctaves = 1
)

// PauseHistory counts how long the branches of one kind paused between an
// answer and their next call. The zero value is empty. It has no lock.
//
// A pause that has not ended, or whose program ended first, is known only to be
// longer than its idle time so far; it counts among those that could have
// returned up to then (as in a Kaplan-Meier estimate), so that long pauses are
// not forgotten just because they have not ended.
type PauseHistory struct {
	returned  [pauseBins]float64
	abandoned [pauseBins]float64
}

// pauseDecay halves the weight of old pauses in about 2000 new ones, so that the
// history follows the hour of the day.
const pauseDecay = 1 - 1.0/3000

// Returned counts a pause that ended with a call.
func (h *PauseHistory) Returned(pause time.Duration) { h.count(&h.returned, pause) }

// Abandoned counts a pause that no call will end.
func (h *PauseHistory) Abandoned(pause time.Duration) { h.count(&h.abandoned, pause) }

func (h *PauseHistory) count(bins *[pauseBins]float64, pause time.Duration) {
	for i := range h.returned {
		h.returned[i] *= pauseDecay
		h.abandoned[i] *= pauseDecay
	}
	bins[pauseBin(pause)]++
}

// pauseBin returns the bin that a pause falls into.
func pauseBin(pause time.Duration) int {
	if pause <= shortestPause {
		return 0
	}
	octaves := math.Log2(float64(pause) / float64(shortestPause))
	return min(int(octaves*binsPerOctave)+1, pauseBins-1)
}

// binEnd returns the end of a bin in seconds.
func binEnd(bin int) float64 {
	return shortestPause.Seconds() * math.Exp2(float64(bin)/binsPerOctave)
}

// ReturnRates says, for a pause that has lasted as long as each bin, how many
// returns a second of further waiting buys at best. The zero value knows nothing.
type ReturnRates struct {
	rates [pauseBins]float64
	known [pauseBins]bool
}

// Rates works the rates out, given how long the pauses under way have lasted.
func (h *PauseHistory) Rates(idle []time.Duration) ReturnRates {
	returned, risk := h.returned, [pauseBins]float64{}
	for i := range risk {
		risk[i] = h.returned[i] + h.abandoned[i]
	}
	for _, pause := range idle {
		risk[pauseBin(pause)]++
	}
	for i := pauseBins - 2; i >= 0; i-- {
		risk[i] += risk[i+1]
	}
	var rates ReturnRates
	for start := range rates.rates {
		beyond := min(start+evidenceOctaves*binsPerOctave, pauseBins-1)
		rates.known[start] = risk[beyond] >= minimumRisk
		rates.rates[start] = bestRate(&returned, &risk, start)
	}
	return rates
}

// bestRate is the largest ratio, over all times to give up, of the chance that
// the branch returns by then to the expected time it is waited for.
func bestRate(returned, risk *[pauseBins]float64, start int) float64 {
	alive, returns, waited, best := 1.0, 0.0, 0.0, 0.0
	for bin := start; bin < pauseBins && risk[bin] > 0; bin++ {
		width := binEnd(bin)
		if bin > 0 {
			width -= binEnd(bin - 1)
		}
		chance := alive * returned[bin] / risk[bin]
		waited += (alive - chance/2) * width
		returns += chance
		alive -= chance
		best = max(best, returns/waited)
	}
	return best
}

// At returns the returns a second that further waiting buys after pause, and
// whether enough is known to tell.
func (r *ReturnRates) At(pause time.Duration) (rate float64, known bool) {
	bin := pauseBin(pause)
	return r.rates[bin], r.known[bin]
}
