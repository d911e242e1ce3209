package mailbox

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestStoppedTaskDoesNotBlock(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	inbox := make(chan any, 1)
	is.True(Post(inbox, stopped, "a"))
	close(stopped)
	is.True(!Post(inbox, stopped, "b")) // the inbox is full
	_, ok := Await(context.Background(), stopped, make(chan int))
	is.True(!ok)
}

func TestAwait(t *testing.T) {
	is := is.New(t)
	reply := make(chan int, 1)
	reply <- 7
	n, ok := Await(context.Background(), nil, reply)
	is.True(ok)
	is.Equal(n, 7)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = Await(ctx, nil, make(chan int))
	is.True(!ok)
}
