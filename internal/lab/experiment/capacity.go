package experiment

import (
	"math/rand/v2"
	"time"
)

const (
	// capacitySample is how many programs of each class Capacity draws.
	capacitySample = 1000
	// longestHold and holdPrecision bound the search for the pause over which an
	// ideal pool can keep prefixes.
	longestHold   = 24 * time.Hour
	holdPrecision = time.Second
)

// Capacity is how many programs a second the site's engines could finish with
// no scheduling loss at all: each engine always decodes a full batch, each call
// prefills only what is new to its branch, and no memory is held for what is
// gone or held twice. The pool keeps each prefix over pauses up to the longest
// one for which everything kept fits into its memory at that rate; after a longer
// pause the whole history is prefilled again.
//
// It is an upper bound that no policy reaches: bursts, uneven batches, late
// signals and lost engines all take from it.
func Capacity(site *Site) float64 {
	sample := capacityPrograms(site)
	low, high := time.Duration(0), longestHold
	for high-low > holdPrecision {
		middle := (low + high) / 2
		if fitsPool(site, sample, middle) {
			low = middle
		} else {
			high = middle
		}
	}
	rate, _ := idealRate(site, sample, low)
	return rate
}

// weightedProgram is a drawn program with its share of all.
type weightedProgram struct {
	program Program
	share   float64
}

func capacityPrograms(site *Site) []weightedProgram {
	random := rand.New(rand.NewPCG(1, 0xcafe))
	var sample []weightedProgram
	for i := range site.Classes {
		class := &site.Classes[i]
		for range capacitySample {
			sample = append(sample, weightedProgram{drawProgram(random, class), class.Share / capacitySample})
		}
	}
	return sample
}

func fitsPool(site *Site, sample []weightedProgram, hold time.Duration) bool {
	rate, tokenSeconds := idealRate(site, sample, hold)
	pool := float64(site.Engines * site.Engine.CacheCapacityTokens)
	return rate*tokenSeconds <= pool
}

// idealRate returns the programs a second that the engines finish if prefixes
// are kept over pauses up to hold, and the token-seconds of cache that one takes.
func idealRate(site *Site, sample []weightedProgram, hold time.Duration) (rate, tokenSeconds float64) {
	work := 0.0
	for i := range sample {
		engineSeconds, memory := idealWork(site, &sample[i].program, hold)
		work += sample[i].share * engineSeconds
		tokenSeconds += sample[i].share * memory
	}
	return float64(site.Engines) / work, tokenSeconds
}

// idealWork returns the engine seconds and the token-seconds of one program.
func idealWork(site *Site, program *Program, hold time.Duration) (engineSeconds, tokenSeconds float64) {
	history := map[string]int{}
	batch := site.Engine.MaxBatch
	for _, call := range program.Calls {
		before := history[call.Branch]
		uncached := call.NewTokens
		if call.Pause > hold {
			uncached += before
		}
		context := before + call.NewTokens + call.AnswerTokens
		prefill := site.Engine.PrefillTime(uncached)
		decode := time.Duration(call.AnswerTokens) * site.Engine.DecodeStep(batch, batch*context)
		engineSeconds += prefill.Seconds() + decode.Seconds()/float64(batch)
		tokenSeconds += float64(context) * (prefill + decode).Seconds()
		tokenSeconds += float64(before) * min(call.Pause, hold).Seconds()
		history[call.Branch] = context
	}
	return engineSeconds, tokenSeconds
}
