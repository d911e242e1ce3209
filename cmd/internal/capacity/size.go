package capacity

import (
	"math/bits"
	"reflect"
	"runtime"
)

// encodedSize estimates the size in bytes of a message in the protobuf encoding. It counts
// a tag of one byte for each field, strings and lists by their length, and numbers as
// varints.
func encodedSize(message any) int { return valueSize(reflect.ValueOf(message)) }

func valueSize(v reflect.Value) int {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if v.IsNil() {
			return 0
		}
		return valueSize(v.Elem())
	case reflect.String:
		return stringSize(v.Len())
	case reflect.Struct:
		return structSize(v)
	case reflect.Slice:
		return sliceSize(v)
	case reflect.Int, reflect.Int64, reflect.Int32:
		return numberSize(uint64(v.Int()))
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint8:
		return numberSize(v.Uint())
	case reflect.Bool:
		return numberSize(uint64(0))
	}
	return 0
}

func stringSize(n int) int {
	if n == 0 {
		return 0
	}
	return 1 + varintSize(uint64(n)) + n
}

func numberSize(n uint64) int { return 1 + varintSize(n) }

func varintSize(n uint64) int { return (bits.Len64(n|1) + 6) / 7 }

func structSize(v reflect.Value) int {
	size := 0
	for i := range v.NumField() {
		size += valueSize(v.Field(i))
	}
	return 1 + varintSize(uint64(size)) + size
}

func sliceSize(v reflect.Value) int {
	size := 0
	for i := range v.Len() {
		size += valueSize(v.Index(i))
	}
	return size
}

// measureHeapBytes returns the heap size of the values that build returns. It keeps the
// values reachable until the heap is measured.
func measureHeapBytes(build func() any) int {
	before := liveHeapBytes()
	values := build()
	after := liveHeapBytes()
	runtime.KeepAlive(values)
	return max(after-before, 0)
}

func liveHeapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
