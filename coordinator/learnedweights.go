package coordinator

import (
	"encoding/json"
	"math"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/store"
)

const (
	// lessonTable holds what leaders learned, so that it outlasts them.
	lessonTable store.Table = "learned"
	lessonKey   string      = "interference"
	// lessonInterval is how often it is stored: seldom enough to cost little, often enough that a new leader
	// lacks a few seconds of evidence only.
	lessonInterval clock.Millis = 4 * clock.Second
)

// lessonRow is a stored lesson. Names are short because all pairs are stored.
type lessonRow struct {
	Serving pacing.Image `json:"S"`
	Filling pacing.Image `json:"F"`
	Weight  float64      `json:"W"`
}

// recall takes what earlier leaders learned. Without it the leader learns anew.
func (leader *Coordinator) recall(rows []store.Row) {
	for _, row := range rows {
		if row.Key != lessonKey {
			continue
		}
		leader.lessonVersion = row.Version
		var stored []lessonRow
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			klog.ErrorS(err, "Stored lessons ignored")
			return
		}
		lessons := make([]pacing.LearnedWeight, 0, len(stored))
		for _, item := range stored {
			lessons = append(lessons, pacing.LearnedWeight{Serving: item.Serving, Filling: item.Filling, Weight: item.Weight})
		}
		leader.book.LoadWeights(lessons)
	}
}

// lessonsTx returns the transaction that stores what was learned, and false if there is nothing.
func (leader *Coordinator) lessonsTx(now clock.Time) (store.Tx, bool) {
	var rows []lessonRow
	for _, lesson := range leader.book.LearnedWeights(now) {
		rows = append(rows, lessonRow{Serving: lesson.Serving, Filling: lesson.Filling, Weight: math.Round(lesson.Weight*milli) / milli})
	}
	if len(rows) == 0 {
		return store.Tx{}, false
	}
	value, err := json.Marshal(rows)
	if err != nil {
		klog.ErrorS(err, "Lessons not encoded")
		return store.Tx{}, false
	}
	ref := store.Ref{Table: lessonTable, Key: lessonKey}
	return store.Tx{
		Conditions: []store.Condition{{Ref: ref, Version: leader.lessonVersion}}, Puts: []store.Put{{Ref: ref, Value: value}},
	}, true
}
