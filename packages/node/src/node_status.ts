/**
 * The state of the system as one node sees it, for operators.
 */

import type { Cluster } from "./cluster.ts";
import type { EndpointRow, NodeRow, NodeStatus } from "./operator_messages.ts";
import type { DataPlane } from "./data_plane.ts";

/** What a status is read from. */
export interface StatusSources {
  readonly cluster: Cluster;
  readonly dataPlane: DataPlane;
  readonly readiness: NodeStatus["readiness"];
  readonly requests: number;
  /** Shards of control work whose lease this node holds. */
  readonly shards: readonly string[];
}

/** Reads the status of a node. */
export function readNodeStatus(sources: StatusSources): NodeStatus {
  const { cluster, readiness, requests, shards } = sources;
  const { self } = cluster.membership;
  return {
    node: self.node,
    incarnation: self.incarnation,
    readiness,
    revision: cluster.current().revision,
    requests,
    shards,
    nodes: listNodes(cluster),
    endpoints: listEndpoints(sources),
  };
}

function listNodes(
  { membership, configuration: spread }: Cluster,
): readonly NodeRow[] {
  const { node, zone } = membership.self;
  const { revision } = spread.current();
  const others = membership.list().map(({ identity, state, revision }) => ({
    node: identity.node,
    zone: identity.zone,
    state,
    revision,
  }));
  return [{ node, zone, state: "self", revision }, ...others];
}

function listEndpoints(
  { cluster, dataPlane: paths }: StatusSources,
): readonly EndpointRow[] {
  return cluster.current().endpoints.map(({ name, service, zone }) => {
    const load = paths.loadCollector.latest.get(name);
    const state = cluster.membership.isLeaving(name)
      ? "leaving"
      : load === undefined
      ? "unknown"
      : load.reachable
      ? "reachable"
      : "unreachable";
    return {
      endpoint: name,
      service,
      zone,
      state,
      running: load?.running,
      queued: load?.queued,
    };
  });
}
