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

// Format of a job row, version 1. Numbers are unsigned varints, and strings are a length followed by the
// bytes. Each placement, size and reason is listed once and referred to by its position plus one, or 0
// for none. Consecutive equal tasks are written once with their count, so that the 2,000 tasks of a
// waiting job take a few bytes and a placed task about 10.
//
//	"HJ" version(1 byte)
//	spec:       Job Team Kind Count CPU Memory Accelerators Priority flags Class Payload Region
//	            len(DataCentres) DataCentre... Patience
//	flags:      1 Urgent, 2 Gang, 4 Cancelled
//	Waited
//	placements: count (Worker Incarnation DataCentre)...
//	sizes:      count (CPU Memory Accelerators)...
//	reasons:    count string...
//	tasks:      groups of (count state(1 byte) Epoch placement size CheckpointEpoch CheckpointName
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
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	statesByCode = []State{Waiting, Claimed, Running, Evicting, Finished, Failed, Cancelled, Parked}
)

func stateCode(state State) byte {
	for code, candidate := range statesByCode {
		if candidate == state {
			return byte(code)
		}
	}
	panic(ErrInvariant{Reason: fmt.Sprintf("state %q has no code", state)})
}

// dictionary lists distinct values in the order in which they are first referred to.
type dictionary[Value comparable] struct {
	values []Value
	index  map[Value]int
}

// reference returns the position of the value plus one, or 0 for the zero value. It appends a new value.
func (dictionary *dictionary[Value]) reference(value Value) uint64 {
	var zero Value
	if value == zero {
		return 0
	}
	if position, ok := dictionary.index[value]; ok {
		return uint64(position) + 1
	}
	if dictionary.index == nil {
		dictionary.index = make(map[Value]int)
	}
	dictionary.index[value] = len(dictionary.values)
	dictionary.values = append(dictionary.values, value)
	return uint64(len(dictionary.values))
}

type rowWriter struct{ bytes []byte }

func (out *rowWriter) number(value uint64) { out.bytes = binary.AppendUvarint(out.bytes, value) }

func (out *rowWriter) text(value string) {
	out.number(uint64(len(value)))
	out.bytes = append(out.bytes, value...)
}

func (out *rowWriter) resources(value unit.Resources) {
	out.number(uint64(value.CPU))
	out.number(uint64(value.Memory))
	out.number(uint64(value.Accelerators))
}

// Encode returns the encoded row.
func (row *Row) Encode() []byte {
	writer := &rowWriter{bytes: make([]byte, 0, 256+16*len(row.Tasks))}
	writer.bytes = append(writer.bytes, magic...)
	writer.bytes = append(writer.bytes, formatVersion)
	spec := &row.Spec
	writer.text(string(spec.Job))
	writer.text(string(spec.Team))
	writer.text(string(spec.Kind))
	writer.number(uint64(len(row.Tasks)))
	writer.resources(spec.Declared)
	writer.number(uint64(spec.Priority))
	var flags uint64
	for flag, set := range map[uint64]bool{flagUrgent: spec.Urgent, flagGang: spec.Gang, flagCancelled: row.Cancelled} {
		if set {
			flags |= flag
		}
	}
	writer.number(flags)
	writer.text(spec.Class)
	writer.text(spec.Payload)
	writer.text(string(spec.Region))
	writer.number(uint64(len(spec.DataCentres)))
	for _, centre := range spec.DataCentres {
		writer.text(string(centre))
	}
	writer.number(uint64(spec.Patience))
	writer.number(uint64(row.Waited))
	row.encodeTasks(writer)
	return binary.LittleEndian.AppendUint32(writer.bytes, crc32.Checksum(writer.bytes, castagnoli))
}

func (row *Row) encodeTasks(writer *rowWriter) {
	var placements dictionary[Placement]
	var sizes dictionary[unit.Resources]
	var reasons dictionary[string]
	taskWriter := &rowWriter{}
	for start := 0; start < len(row.Tasks); {
		task := row.Tasks[start]
		end := start + 1
		for end < len(row.Tasks) && row.Tasks[end] == task {
			end++
		}
		taskWriter.number(uint64(end - start))
		taskWriter.bytes = append(taskWriter.bytes, stateCode(task.State))
		taskWriter.number(uint64(task.Epoch))
		taskWriter.number(placements.reference(task.Placement))
		taskWriter.number(sizes.reference(task.Size))
		taskWriter.number(uint64(task.Checkpoint.Epoch))
		taskWriter.text(task.Checkpoint.Name)
		taskWriter.number(uint64(task.Failures))
		taskWriter.number(uint64(task.Evictions))
		taskWriter.number(reasons.reference(task.Reason))
		start = end
	}
	writer.number(uint64(len(placements.values)))
	for _, placement := range placements.values {
		writer.text(string(placement.Worker))
		writer.number(uint64(placement.Incarnation))
		writer.text(string(placement.DataCentre))
	}
	writer.number(uint64(len(sizes.values)))
	for _, size := range sizes.values {
		writer.resources(size)
	}
	writer.number(uint64(len(reasons.values)))
	for _, reason := range reasons.values {
		writer.text(reason)
	}
	writer.bytes = append(writer.bytes, taskWriter.bytes...)
}

type rowReader struct {
	bytes []byte
	err   error
}

func (reader *rowReader) fail(reason string) {
	if reader.err == nil {
		reader.err = ErrBadRow{Reason: reason}
	}
	reader.bytes = nil
}

func (reader *rowReader) number() uint64 {
	value, size := binary.Uvarint(reader.bytes)
	if size <= 0 {
		reader.fail("truncated number")
		return 0
	}
	reader.bytes = reader.bytes[size:]
	return value
}

func (reader *rowReader) text() string {
	length := reader.number()
	if length > uint64(len(reader.bytes)) {
		reader.fail("truncated string")
		return ""
	}
	value := string(reader.bytes[:length])
	reader.bytes = reader.bytes[length:]
	return value
}

// count reads a number of elements. Each takes at least one byte, so the count cannot exceed the bytes
// that are left.
func (reader *rowReader) count() int {
	value := reader.number()
	if value > uint64(len(reader.bytes)) {
		reader.fail("count exceeds the row")
		return 0
	}
	return int(value)
}

func (reader *rowReader) resources() unit.Resources {
	return unit.Resources{
		CPU:          unit.MilliCPU(reader.number()),
		Memory:       unit.Mebibytes(reader.number()),
		Accelerators: unit.Accelerators(reader.number()),
	}
}

// Decode returns the row that Encode wrote. The error is ErrBadRow.
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
	reader := &rowReader{bytes: body[len(magic)+1:]}
	row := &Row{}
	spec := &row.Spec
	spec.Job = ident.Job(reader.text())
	spec.Team = ident.Team(reader.text())
	spec.Kind = worker.Kind(reader.text())
	count := reader.number()
	if count > MaxTasks {
		return nil, ErrBadRow{Reason: "too many tasks"}
	}
	spec.Count = int(count)
	spec.Declared = reader.resources()
	spec.Priority = int(reader.number())
	flags := reader.number()
	spec.Urgent, spec.Gang, row.Cancelled = flags&flagUrgent != 0, flags&flagGang != 0, flags&flagCancelled != 0
	spec.Class = reader.text()
	spec.Payload = reader.text()
	spec.Region = ident.Region(reader.text())
	for centres := reader.count(); centres > 0; centres-- {
		spec.DataCentres = append(spec.DataCentres, ident.DataCentre(reader.text()))
	}
	spec.Patience = clock.Millis(reader.number())
	row.Waited = clock.Millis(reader.number())
	row.decodeTasks(reader)
	if reader.err == nil && len(reader.bytes) != 0 {
		reader.fail("bytes after the last task")
	}
	if reader.err != nil {
		return nil, reader.err
	}
	if err := spec.Validate(); err != nil {
		return nil, ErrBadRow{Reason: err.Error()}
	}
	return row, nil
}

func (row *Row) decodeTasks(reader *rowReader) {
	placements := make([]Placement, reader.count())
	for index := range placements {
		placements[index] = Placement{Worker: ident.Worker(reader.text()), Incarnation: ident.Incarnation(reader.number()), DataCentre: ident.DataCentre(reader.text())}
	}
	sizes := make([]unit.Resources, reader.count())
	for index := range sizes {
		sizes[index] = reader.resources()
	}
	reasons := make([]string, reader.count())
	for index := range reasons {
		reasons[index] = reader.text()
	}
	row.Tasks = make([]Task, 0, row.Spec.Count)
	for len(row.Tasks) < row.Spec.Count && reader.err == nil {
		length := reader.number()
		if length == 0 || length > uint64(row.Spec.Count-len(row.Tasks)) || len(reader.bytes) == 0 {
			reader.fail("run of tasks has a wrong length")
			return
		}
		code := reader.bytes[0]
		reader.bytes = reader.bytes[1:]
		if int(code) >= len(statesByCode) {
			reader.fail("unknown state")
			return
		}
		task := Task{State: statesByCode[code], Epoch: ident.Epoch(reader.number())}
		task.Placement = lookup(reader, placements)
		task.Size = lookup(reader, sizes)
		task.Checkpoint = worker.Checkpoint{Epoch: ident.Epoch(reader.number()), Name: reader.text()}
		task.Failures, task.Evictions = int(reader.number()), int(reader.number())
		task.Reason = lookup(reader, reasons)
		if task.State.Live() != (task.Placement.Worker != "") {
			reader.fail("placement does not match state")
		}
		for ; length > 0; length-- {
			row.Tasks = append(row.Tasks, task)
		}
	}
}

// lookup reads a reference and returns the value that it refers to.
func lookup[Value any](reader *rowReader, values []Value) Value {
	var zero Value
	reference := reader.number()
	if reference > uint64(len(values)) {
		reader.fail("reference outside its list")
		return zero
	}
	if reference == 0 {
		return zero
	}
	return values[reference-1]
}
