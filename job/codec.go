package job

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// The format of a job row, version 1. Numbers are unsigned varints, strings are a length and
// bytes. Placements, sizes and reasons are listed once and referred to by position plus one, with 0
// for none. Equal neighbouring tasks are written once with a count, so that a waiting job of 2,000
// tasks takes a few bytes for them and a placed task about 10.
//
//	"HJ" version(1 byte)
//	spec:       Job Team Kind Count CPU Memory Accelerators Priority flags Class Payload Region
//	            len(DataCentres) DataCentre... Patience
//	flags:      1 Urgent, 2 Gang, 4 Cancelled
//	Waited
//	placements: count (Worker Incarnation DataCentre)...
//	sizes:      count (CPU Memory Accelerators)...
//	reasons:    count string...
//	tasks:      runs of (count state(1 byte) Epoch placement size CheckpointEpoch CheckpointName
//	            Failures Evictions reason) until Count tasks are described
//	CRC-32C of all bytes before it, 4 bytes little endian
const (
	magic         = "HJ"
	formatVersion = 1
	flagUrgent    = 1
	flagGang      = 2
	flagCancelled = 4
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	states     = []State{Waiting, Claimed, Running, Evicting, Finished, Failed, Cancelled, Parked}
)

func stateCode(state State) byte {
	for code, known := range states {
		if known == state {
			return byte(code)
		}
	}
	panic(ErrInvariant{Reason: fmt.Sprintf("state %q has no code", state)})
}

type dictionary[Value comparable] struct {
	values []Value
	index  map[Value]int
}

// reference returns the position plus one of value, or 0 for the zero value.
func (list *dictionary[Value]) reference(value Value) uint64 {
	var none Value
	if value == none {
		return 0
	}
	if position, ok := list.index[value]; ok {
		return uint64(position) + 1
	}
	if list.index == nil {
		list.index = make(map[Value]int)
	}
	list.index[value] = len(list.values)
	list.values = append(list.values, value)
	return uint64(len(list.values))
}

type writer struct{ bytes []byte }

func (out *writer) number(value uint64) { out.bytes = binary.AppendUvarint(out.bytes, value) }

func (out *writer) text(value string) {
	out.number(uint64(len(value)))
	out.bytes = append(out.bytes, value...)
}

func (out *writer) resources(value unit.Resources) {
	out.number(uint64(value.CPU))
	out.number(uint64(value.Memory))
	out.number(uint64(value.Accelerators))
}

// Encode returns the row's value for the table.
func (row *Row) Encode() []byte {
	out := &writer{bytes: make([]byte, 0, 256+16*len(row.Tasks))}
	out.bytes = append(out.bytes, magic...)
	out.bytes = append(out.bytes, formatVersion)
	spec := &row.Spec
	out.text(string(spec.Job))
	out.text(string(spec.Team))
	out.text(string(spec.Kind))
	out.number(uint64(len(row.Tasks)))
	out.resources(spec.Declared)
	out.number(uint64(spec.Priority))
	var flags uint64
	for flag, set := range map[uint64]bool{flagUrgent: spec.Urgent, flagGang: spec.Gang, flagCancelled: row.Cancelled} {
		if set {
			flags |= flag
		}
	}
	out.number(flags)
	out.text(spec.Class)
	out.text(spec.Payload)
	out.text(string(spec.Region))
	out.number(uint64(len(spec.DataCentres)))
	for _, centre := range spec.DataCentres {
		out.text(string(centre))
	}
	out.number(uint64(spec.Patience))
	out.number(uint64(row.Waited))
	row.encodeTasks(out)
	return binary.LittleEndian.AppendUint32(out.bytes, crc32.Checksum(out.bytes, castagnoli))
}

func (row *Row) encodeTasks(out *writer) {
	var placements dictionary[Placement]
	var sizes dictionary[unit.Resources]
	var reasons dictionary[string]
	tasks := &writer{}
	for start := 0; start < len(row.Tasks); {
		task := row.Tasks[start]
		end := start + 1
		for end < len(row.Tasks) && row.Tasks[end] == task {
			end++
		}
		tasks.number(uint64(end - start))
		tasks.bytes = append(tasks.bytes, stateCode(task.State))
		tasks.number(uint64(task.Epoch))
		tasks.number(placements.reference(task.Placement))
		tasks.number(sizes.reference(task.Size))
		tasks.number(uint64(task.Checkpoint.Epoch))
		tasks.text(task.Checkpoint.Name)
		tasks.number(uint64(task.Failures))
		tasks.number(uint64(task.Evictions))
		tasks.number(reasons.reference(task.Reason))
		start = end
	}
	out.number(uint64(len(placements.values)))
	for _, placement := range placements.values {
		out.text(string(placement.Worker))
		out.number(uint64(placement.Incarnation))
		out.text(string(placement.DataCentre))
	}
	out.number(uint64(len(sizes.values)))
	for _, size := range sizes.values {
		out.resources(size)
	}
	out.number(uint64(len(reasons.values)))
	for _, reason := range reasons.values {
		out.text(reason)
	}
	out.bytes = append(out.bytes, tasks.bytes...)
}

type reader struct {
	bytes []byte
	err   error
}

func (in *reader) fail(reason string) {
	if in.err == nil {
		in.err = ErrBadRow{Reason: reason}
	}
	in.bytes = nil
}

func (in *reader) number() uint64 {
	value, size := binary.Uvarint(in.bytes)
	if size <= 0 {
		in.fail("truncated number")
		return 0
	}
	in.bytes = in.bytes[size:]
	return value
}

func (in *reader) text() string {
	length := in.number()
	if length > uint64(len(in.bytes)) {
		in.fail("truncated string")
		return ""
	}
	value := string(in.bytes[:length])
	in.bytes = in.bytes[length:]
	return value
}

// count reads a number of elements, each of which takes at least one byte.
func (in *reader) count() int {
	value := in.number()
	if value > uint64(len(in.bytes)) {
		in.fail("count exceeds the row")
		return 0
	}
	return int(value)
}

func (in *reader) resources() unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(in.number()),
		Memory:       unit.Mebibytes(in.number()),
		Accelerators: unit.Accelerators(in.number()),
	}
}

// Decode reads a row's value. The error is ErrBadRow.
func Decode(value []byte) (*Row, error) {
	if len(value) < len(magic)+1+4 || string(value[:len(magic)]) != magic {
		return nil, ErrBadRow{Reason: "not a job row"}
	}
	if value[len(magic)] != formatVersion {
		return nil, ErrBadRow{Reason: fmt.Sprintf("format version %d is unknown", value[len(magic)])}
	}
	body, sum := value[:len(value)-4], value[len(value)-4:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(sum) {
		return nil, ErrBadRow{Reason: "checksum differs"}
	}
	in := &reader{bytes: body[len(magic)+1:]}
	row := &Row{}
	spec := &row.Spec
	spec.Job = ident.Job(in.text())
	spec.Team = ident.Team(in.text())
	spec.Kind = worker.Kind(in.text())
	count := in.number()
	if count > MaxTasks {
		return nil, ErrBadRow{Reason: "too many tasks"}
	}
	spec.Count = int(count)
	spec.Declared = in.resources()
	spec.Priority = int(in.number())
	flags := in.number()
	spec.Urgent, spec.Gang, row.Cancelled = flags&flagUrgent != 0, flags&flagGang != 0, flags&flagCancelled != 0
	spec.Class = in.text()
	spec.Payload = in.text()
	spec.Region = ident.Region(in.text())
	for centres := in.count(); centres > 0; centres-- {
		spec.DataCentres = append(spec.DataCentres, ident.DataCentre(in.text()))
	}
	spec.Patience = clock.Millis(in.number())
	row.Waited = clock.Millis(in.number())
	row.decodeTasks(in)
	if in.err == nil && len(in.bytes) != 0 {
		in.fail("bytes after the last task")
	}
	if in.err != nil {
		return nil, in.err
	}
	if err := spec.Validate(); err != nil {
		return nil, ErrBadRow{Reason: err.Error()}
	}
	return row, nil
}

func (row *Row) decodeTasks(in *reader) {
	placements := make([]Placement, in.count())
	for index := range placements {
		placements[index] = Placement{Worker: ident.Worker(in.text()), Incarnation: ident.Incarnation(in.number()), DataCentre: ident.DataCentre(in.text())}
	}
	sizes := make([]unit.Resources, in.count())
	for index := range sizes {
		sizes[index] = in.resources()
	}
	reasons := make([]string, in.count())
	for index := range reasons {
		reasons[index] = in.text()
	}
	row.Tasks = make([]Task, 0, row.Spec.Count)
	for len(row.Tasks) < row.Spec.Count && in.err == nil {
		length := in.number()
		if length == 0 || length > uint64(row.Spec.Count-len(row.Tasks)) || len(in.bytes) == 0 {
			in.fail("run of tasks has a wrong length")
			return
		}
		code := in.bytes[0]
		in.bytes = in.bytes[1:]
		if int(code) >= len(states) {
			in.fail("unknown state")
			return
		}
		task := Task{State: states[code], Epoch: ident.Epoch(in.number())}
		task.Placement = lookup(in, placements)
		task.Size = lookup(in, sizes)
		task.Checkpoint = worker.Checkpoint{Epoch: ident.Epoch(in.number()), Name: in.text()}
		task.Failures, task.Evictions = int(in.number()), int(in.number())
		task.Reason = lookup(in, reasons)
		if task.State.Live() != (task.Placement.Worker != "") {
			in.fail("placement does not match state")
		}
		for ; length > 0; length-- {
			row.Tasks = append(row.Tasks, task)
		}
	}
}

// lookup reads a reference and returns its value.
func lookup[Value any](in *reader, values []Value) Value {
	var none Value
	reference := in.number()
	if reference > uint64(len(values)) {
		in.fail("reference outside its list")
		return none
	}
	if reference == 0 {
		return none
	}
	return values[reference-1]
}
