package admin

import (
	"context"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// authorKey is the context key of a request's author.
type authorKey struct{}

// tokenAuthenticator checks the token of each request.
type tokenAuthenticator struct{ tokens []Token }

// HandleToken returns a context that names the token's author.
func (g *tokenAuthenticator) HandleToken(ctx context.Context, _ api.OperationName, t api.Token) (context.Context, error) {
	author, ok := findAuthor(g.tokens, t.Token)
	if !ok {
		return ctx, errors.New("the token is not valid")
	}
	return context.WithValue(ctx, authorKey{}, author), nil
}

// authorFromContext returns the authorFromContext that HandleToken stored in ctx.
func authorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(authorKey{}).(string)
	return name
}
