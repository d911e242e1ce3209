package conf

import (
	"fmt"
	"testing"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// newServicesPush returns a push of services, each with three databases of three
// endpoints, as in a large installation.
func newServicesPush(services int) config.Push {
	var push config.Push
	for i := range services {
		spec := types.ServiceSpec{
			Name: types.Service(fmt.Sprintf("service-%04d", i)), Durability: types.DurabilityReplicated,
			Slots: 3, Connections: 50,
		}
		for d := range 3 {
			db := types.DatabaseSpec{ID: types.Database(fmt.Sprintf("s%04d-db-%d", i, d)), EndpointSet: 1}
			for e := range 3 {
				db.Endpoints = append(db.Endpoints, types.EndpointSpec{
					ID:         types.Endpoint(fmt.Sprintf("s%04d-db-%d-%d", i, d, e)),
					DataCentre: types.DataCentre(fmt.Sprintf("dc-%02d", e)),
					Address:    fmt.Sprintf("10.20.%d.%d:5432", i%250, d*3+e),
				})
			}
			spec.Databases = append(spec.Databases, db)
		}
		body := config.ServiceObject{Spec: spec}
		push.Objects = append(push.Objects, config.Object{
			Key: body.Key(), Version: config.Version(i + 1), Body: body, Operations: []config.OperationID{"plan/p0001"},
		})
	}
	return push
}

// BenchmarkEncodePush measures the time and the encoded size of pushes:
//
//	go test ./conf -run none -bench EncodePush
func BenchmarkEncodePush(b *testing.B) {
	for _, services := range []int{1, 100} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			push := newServicesPush(services)
			e := newEncoder()
			size := 0
			for b.Loop() {
				data, err := e.encode(push)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/push")
		})
	}
}
