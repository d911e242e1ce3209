package capacity

import (
	"fmt"
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// randomSeed is the base of all random seeds, so that every run makes the same random
// decisions.
const randomSeed = 20260504

const (
	databasesPerService  = 3
	endpointsPerDatabase = 3
	ranksPerFleet        = 3
	// retirementsPerFleet is the number of retirements in progress.
	retirementsPerFleet = 20
)

// fleet is a fleet size for which costs are measured.
type fleet struct {
	name           string
	hosts, centres int
	databases      int
}

// fleets lists the fleet sizes. The last one is the size expected within two years.
var fleets = []fleet{
	{name: "today", hosts: 21, centres: 3, databases: 3},
	{name: "ten-times", hosts: 210, centres: 6, databases: 300},
	{name: "two-years", hosts: 2600, centres: 18, databases: 3000},
}

func hostName(i int) types.Host { return types.Host(fmt.Sprintf("host-%04d", i)) }

func centreName(i int) types.DataCentre {
	return types.DataCentre(fmt.Sprintf("region-%d-dc-%02d", i%8, i))
}

func syntheticAddress(i, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, port)
}

// hostCentres returns the index of each host's data centre.
func (f fleet) hostCentres() []int {
	centres := make([]int, f.hosts)
	for i := range centres {
		centres[i] = i % f.centres
	}
	return centres
}

// hostsIn returns the hosts of the data centre with the given index.
func (f fleet) hostsIn(centre int) []types.Host {
	var hosts []types.Host
	for i := centre; i < f.hosts; i += f.centres {
		hosts = append(hosts, hostName(i))
	}
	return hosts
}

// hostIndexes returns the index of each host by its id.
func (f fleet) hostIndexes() map[types.Host]int {
	index := make(map[types.Host]int, f.hosts)
	for i := range f.hosts {
		index[hostName(i)] = i
	}
	return index
}

// databaseSpec returns the specification of the n-th database. Its endpoints are in
// different data centres.
func (f fleet) databaseSpec(n int) types.DatabaseSpec {
	spec := types.DatabaseSpec{ID: types.Database(fmt.Sprintf("db-%04d", n)), EndpointSet: 1}
	for k := range endpointsPerDatabase {
		spec.Endpoints = append(spec.Endpoints, types.EndpointSpec{
			ID:         types.Endpoint(fmt.Sprintf("db-%04d-%c", n, 'a'+k)),
			DataCentre: centreName((n + k) % f.centres),
			Address:    syntheticAddress(n*endpointsPerDatabase+k, 5432),
		})
	}
	return spec
}

// configObjects returns a new copy of the fleet's configuration objects.
func (f fleet) configObjects() []config.Object {
	var bodies []config.Body
	for first := 0; first < f.databases; first += databasesPerService {
		spec := types.ServiceSpec{
			Name:        types.Service(fmt.Sprintf("service-%04d", first/databasesPerService)),
			Durability:  types.DurabilityReplicated,
			Slots:       3,
			Connections: 50,
		}
		for n := first; n < min(first+databasesPerService, f.databases); n++ {
			spec.Databases = append(spec.Databases, f.databaseSpec(n))
		}
		bodies = append(bodies, config.ServiceObject{Spec: spec})
	}
	for i := range ranksPerFleet {
		bodies = append(bodies, rankObject(i, time.Second))
	}
	for i := range retirementsPerFleet {
		bodies = append(bodies, config.Retirement{
			Name: fmt.Sprintf("retirement-%02d", i), Kind: config.TargetFeature,
			Target: fmt.Sprintf("feature-%02d", i), Phase: config.PhaseAnnounced,
		})
	}
	objects := make([]config.Object, 0, len(bodies))
	for i, body := range bodies {
		version := config.Version(i + 1)
		objects = append(objects, config.Object{
			Key: body.Key(), Version: version, Body: body,
			Operations: []config.OperationID{config.OperationID(fmt.Sprintf("plan/p-%d", i))},
		})
	}
	return objects
}

func rankObject(i int, target time.Duration) config.RankObject {
	return config.RankObject{Spec: types.RankSpec{
		Name: types.Rank(fmt.Sprintf("rank-%d", i)), Target: target, Worth: 10, Floor: 10, Order: i,
	}}
}
