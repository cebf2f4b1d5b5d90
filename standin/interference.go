package standin

// Matrix gives how much a class of work slows another: Matrix[victim][aggressor] is the additional
// run time of the victim in percent while one unthrottled aggressor runs beside it. Missing pairs
// do not interfere.
type Matrix map[string]map[string]int

// extra returns the additional run time of victim in percent beside an aggressor throttled to
// percent of its processor time.
func (matrix Matrix) extra(victim, aggressor string, percent int) int {
	return matrix[victim][aggressor] * percent / 100
}
