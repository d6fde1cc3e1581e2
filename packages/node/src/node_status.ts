/**
 * The state of the system as one node sees it, for operators.
 */

import type { Cluster } from "./cluster.ts";
import type { EndpointRow, NodeRow, NodeStatus } from "./operator_messages.ts";
import type { DataPlane } from "./data_plane.ts";

/** Inputs of `readNodeStatus`. */
export interface StatusSources {
  readonly cluster: Cluster;
  readonly dataPlane: DataPlane;
  readonly readiness: NodeStatus["readiness"];
  /** Requests in progress. */
  readonly requests: number;
  /** Shards of fleet control whose lease this node holds. */
  readonly shards: readonly string[];
}

/** Composes the answer of `GET /status`. */
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
  { membership, configuration }: Cluster,
): readonly NodeRow[] {
  const { node, zone } = membership.self;
  const { revision } = configuration.current();
  const others = membership.list().map(({ identity, state, revision }) => ({
    node: identity.node,
    zone: identity.zone,
    state,
    revision,
  }));
  return [{ node, zone, state: "self", revision }, ...others];
}

function listEndpoints(
  { cluster, dataPlane }: StatusSources,
): readonly EndpointRow[] {
  return cluster.current().endpoints.map(({ name, service, zone }) => {
    const load = dataPlane.loadCollector.latest.get(name);
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
