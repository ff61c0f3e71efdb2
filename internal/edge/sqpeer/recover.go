package sqpeer

import (
	"context"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverOptions returns the server options that end a call whose handler panics with
// an error, instead of the process.
func recoverOptions(log logr.Logger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (answer any, err error) {
			defer recoverCall(log, info.FullMethod, &err)
			return next(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer recoverCall(log, info.FullMethod, &err)
			return next(srv, s)
		}),
	}
}

// recoverCall turns a panic of a call's handler into the call's error.
func recoverCall(log logr.Logger, method string, err *error) {
	if p := recover(); p != nil {
		log.Error(errors.Errorf("panic: %v", p), "peer call panicked", "method", method, "stack", string(debug.Stack()))
		*err = status.Error(codes.Internal, "panic")
	}
}
