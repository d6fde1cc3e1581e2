/**
 * Program of a replica in a process of its own, which a test can kill: streams of 40
 * events without a length. Prints its address; its id is the first argument.
 */

import { ReplicaStandin } from "@almondcrank/standin/platform/replica_standin.ts";

const replica = await ReplicaStandin.open({
  id: process.argv[2] ?? "",
  events: 40,
  eventMs: 20,
  streamFraming: "connection",
});
console.log(replica.address);
