/**
 * Passes on which nodes are cut off from all replicas of a service.
 */

import type {
  CutNodes,
  ToldCut,
} from "@almondcrank/routing/reach/cut_nodes.ts";
import type { ServiceReach } from "@almondcrank/routing/reach/service_reach.ts";
import { z } from "zod";
import type { NewsSource } from "./report_news.ts";

const maxBytes = 6_000;
const toldCuts = z.array(
  z.tuple([z.string(), z.string(), z.number().nonnegative()]),
);

/** Dependencies of the news. */
export interface ReachNewsOptions {
  /** Name of this node. */
  readonly node: string;
  readonly reach: ServiceReach;
  readonly cutNodes: CutNodes;
}

/** Creates the source of news. */
export function createReachNews(
  { node, reach, cutNodes }: ReachNewsOptions,
): NewsSource {
  return {
    name: "reach",
    maxBytes,
    compose: (now) => {
      for (const service of reach.listCut(now)) {
        cutNodes.record(node, service, now);
      }
      const told = cutNodes.list(now);
      return told.length === 0 ? undefined : told;
    },
    apply: (news, now) => {
      const parsed = toldCuts.safeParse(news);
      if (!parsed.success) return;
      const told: readonly ToldCut[] = parsed.data;
      cutNodes.learn(told, now);
    },
  };
}
