package recorded

import (
	"math/rand/v2"

	"hyssopjunction/clock"
)

// random is a seeded sequence of random numbers. It uses integers only, because floating-point
// functions may differ in the last digit between machines.
type random struct{ source *rand.Rand }

func newRandom(seed, stream uint64) random {
	return random{source: rand.New(rand.NewPCG(seed, stream))}
}

func (random random) below(limit int) int { return random.source.IntN(limit) }

// between returns a number from low to high, both included.
func (random random) between(low, high int) int { return low + random.source.IntN(high-low+1) }

func (random random) millis(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(random.source.Int64N(int64(high-low)+1))
}

// exponentials are the quantiles (index+0.5)/64 of the exponential distribution of mean 1, in
// thousandths. The last one is the quantile 63/64 instead: from there on the distribution repeats,
// and another number is drawn and added.
var exponentials = [64]int64{
	8, 24, 40, 56, 73, 90, 107, 125, 143, 161, 179, 198, 217, 237, 257, 277,
	298, 319, 341, 363, 386, 409, 433, 458, 483, 508, 535, 562, 589, 618, 647, 677,
	709, 741, 774, 808, 844, 881, 919, 959, 1001, 1044, 1090, 1137, 1187, 1239, 1295, 1354,
	1416, 1483, 1554, 1631, 1715, 1806, 1906, 2018, 2145, 2289, 2457, 2659, 2909, 3244, 3756, 4159,
}

// exponential returns an exponentially distributed number of the given mean.
func (random random) exponential(mean int64) int64 {
	sum := int64(0)
	for {
		index := random.below(len(exponentials))
		sum += mean * exponentials[index] / 1000
		if index < len(exponentials)-1 {
			return sum
		}
	}
}
