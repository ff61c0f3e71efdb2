package sqpeer

import (
	"github.com/go-faster/errors"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// buffers are the buffers of messages. A part of a body has 64 KiB and its frame's other
// fields: the default pool of gRPC would hold each in a buffer of 1 MiB.
var buffers = mem.NewTieredBufferPool(256, 4<<10, 16<<10, 32<<10, 72<<10, 256<<10, MaxMessageBytes)

// codec encodes messages as the default codec does, in buffers of its own pool.
type codec struct{}

var _ encoding.CodecV2 = codec{}

// Marshal encodes a message.
func (codec) Marshal(v any) (mem.BufferSlice, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is no message", v)
	}
	size := proto.Size(m)
	if mem.IsBelowBufferPoolingThreshold(size) {
		b, err := proto.Marshal(m)
		return mem.BufferSlice{mem.SliceBuffer(b)}, err
	}
	b := buffers.Get(size)
	if _, err := (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend((*b)[:0], m); err != nil {
		buffers.Put(b)
		return nil, err
	}
	return mem.BufferSlice{mem.NewBuffer(b, buffers)}, nil
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errors.Errorf("%T is no message", v)
	}
	b := data.MaterializeToBuffer(buffers)
	defer b.Free()
	return proto.Unmarshal(b.ReadOnlyData(), m)
}

// Name returns the name of the default codec, whose encoding this is.
func (codec) Name() string { return "proto" }
