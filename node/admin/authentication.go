package admin

import (
	"context"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// authorKey is the context key of a request's author.
type authorKey struct{}

// tokenAuthenticator authenticates requests by their bearer tokens.
type tokenAuthenticator struct{ tokens []Token }

// HandleToken returns a context with the token's author, or an error if the token
// is not valid.
func (a *tokenAuthenticator) HandleToken(ctx context.Context, _ api.OperationName, t api.Token) (context.Context, error) {
	author, ok := findAuthor(a.tokens, t.Token)
	if !ok {
		return ctx, errors.New("the token is not valid")
	}
	return context.WithValue(ctx, authorKey{}, author), nil
}

// authorFromContext returns the author that HandleToken stored in ctx, or "".
func authorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(authorKey{}).(string)
	return name
}
