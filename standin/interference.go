package standin

// Matrix holds the interference between classes of work. Matrix[victim][aggressor] is the
// additional run time of the victim, in percent, while one aggressor runs beside it without a
// throttle. Missing pairs don't interfere.
type Matrix map[string]map[string]int

// addedPercent returns the additional run time of victim, in percent, beside an aggressor throttled
// to percent of its processor time.
func (matrix Matrix) addedPercent(victim, aggressor string, percent int) int {
	return matrix[victim][aggressor] * percent / 100
}
