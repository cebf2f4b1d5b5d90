package objectstore

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of the snapshot container that this program writes. Others are refused.
const Format = 1

// The container is, in big-endian order: 4 bytes magic, 2 bytes format, 8 bytes sequence, 8 bytes
// length of the payload, the payload, and 8 bytes XXH64 of everything before.
const (
	magic       = "HYSN"
	headerBytes = 4 + 2 + 8 + 8
	sumBytes    = 8
)

// Sequence numbers the snapshots of one series. Higher is newer.
type Sequence uint64

// Snapshot is the content of one snapshot.
type Snapshot struct {
	Sequence Sequence
	Payload  []byte
}

// Encode returns the snapshot's container.
func Encode(snapshot Snapshot) []byte {
	data := make([]byte, 0, headerBytes+len(snapshot.Payload)+sumBytes)
	data = append(data, magic...)
	data = binary.BigEndian.AppendUint16(data, Format)
	data = binary.BigEndian.AppendUint64(data, uint64(snapshot.Sequence))
	data = binary.BigEndian.AppendUint64(data, uint64(len(snapshot.Payload)))
	data = append(data, snapshot.Payload...)
	return binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
}

// Decode returns the snapshot in the container, or ErrBadSnapshot. Name is used in the error only.
func Decode(name Name, data []byte) (Snapshot, error) {
	if len(data) < headerBytes+sumBytes {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("only %d bytes", len(data))}
	}
	if string(data[:4]) != magic {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: "not a snapshot container"}
	}
	if format := binary.BigEndian.Uint16(data[4:]); format != Format {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("format %d, not %d", format, Format)}
	}
	length := binary.BigEndian.Uint64(data[14:])
	if have := uint64(len(data) - headerBytes - sumBytes); length != have {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: fmt.Sprintf("payload of %d bytes, not %d", have, length)}
	}
	body := len(data) - sumBytes
	if xxhash.Sum64(data[:body]) != binary.BigEndian.Uint64(data[body:]) {
		return Snapshot{}, ErrBadSnapshot{Name: name, Reason: "checksum differs"}
	}
	return Snapshot{
		Sequence: Sequence(binary.BigEndian.Uint64(data[6:])),
		Payload:  data[headerBytes:body],
	}, nil
}
