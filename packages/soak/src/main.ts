/**
 * Command line of the soak: `npm run soak -- --seed S --minutes N`.
 *
 * Runs soaks of 30 s with the seeds S, S+1 and so on until the time is over.
 * Exits with code 1 if a promise is broken, and keeps the logs of such a soak.
 */

import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { partCrashes } from "./fault_plan.ts";
import { plantedFaults } from "./faulty_proxy.ts";
import { answerPromise } from "./promises.ts";
import type { Finding } from "./records.ts";
import { connectionEnds } from "./replica_ends.ts";
import { runSoak, type SoakOptions, type SoakResult } from "./soak_run.ts";
import type { OrderBreak } from "./stream_order.ts";

const msPerMinute = 60_000;
const shownFindings = 10;

/** Runs soaks one after the other. */
class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "inject faults into the real programs and check promises",
    examples: [
      [
        "Two minutes, starting with seed 7",
        "npm run soak -- --seed 7 --minutes 2",
      ],
      [
        "Replicas that end by FIN, three answers in ten without a length",
        "npm run soak -- --seed 7 --minutes 2 --ends fin --unframed 0.3",
      ],
    ],
  });

  seed = Option.String("--seed", "1");
  minutes = Option.String("--minutes", "1");
  seconds = Option.String("--seconds", "30", {
    description: "length of the soak of one seed",
  });
  nodes = Option.String("--nodes", "3");
  callers = Option.String("--callers", "12");
  program = Option.String("--program", "target/gateway.cjs");
  beside = Option.String("--beside", {
    description: "program of every second node, such as an earlier build",
  });
  ends = Option.String("--ends", {
    description:
      `end replicas in the middle of their answers; their connections end by: ${
        connectionEnds.join(", ")
      }`,
  });
  unframed = Option.String("--unframed", "0", {
    description: "share of the replicas' answers without a length, 0 to 1",
  });
  plant = Option.String("--plant", {
    description: `fault of the first node that the checks must find: ${
      plantedFaults.join(", ")
    }`,
  });

  override async execute(): Promise<number> {
    const planted = plantedFaults.find((fault) => fault === this.plant);
    if (this.plant !== undefined && planted === undefined) {
      this.#write(
        `"${this.plant}" is not a fault to plant; choose one of ${
          plantedFaults.join(", ")
        }`,
      );
      return 2;
    }
    const replicaEnds = connectionEnds.find((end) => end === this.ends);
    if (this.ends !== undefined && replicaEnds === undefined) {
      this.#write(
        `"${this.ends}" ends no connection; choose one of ${
          connectionEnds.join(", ")
        }`,
      );
      return 2;
    }
    const variant = {
      ...(planted === undefined ? {} : { planted: [planted] }),
      ...(replicaEnds === undefined ? {} : { replicaEnds }),
    };
    const endsAt = performance.now() + Number(this.minutes) * msPerMinute;
    let broken = 0;
    let seed = Number(this.seed);
    do {
      if (!await this.#runSeed(seed, variant)) broken += 1;
      seed += 1;
    } while (performance.now() < endsAt);
    const played = seed - Number(this.seed);
    this.#write(`${played} seeds run, ${broken} with findings`);
    return broken === 0 ? 0 : 1;
  }

  async #runSeed(
    seed: number,
    variant: Pick<SoakOptions, "planted" | "replicaEnds">,
  ): Promise<boolean> {
    const result = await runSoak({
      seed,
      lengthMs: Number(this.seconds) * 1_000,
      nodes: Number(this.nodes),
      callers: Number(this.callers),
      command: [this.program],
      ...(this.beside === undefined ? {} : { besideCommand: [this.beside] }),
      unframedShare: Number(this.unframed),
      ...variant,
    });
    const { findings, folder } = result;
    this.#write(`seed ${seed}: ${formatCounts(result)}`);
    for (const finding of findings.slice(0, shownFindings)) {
      this.#write(
        `  ${finding.promise}: ${finding.request} ${finding.detail}`,
      );
    }
    if (findings.length > 0) this.#write(`  logs: ${folder}`);
    return findings.length === 0;
  }

  #write(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}

function formatCounts(
  { findings, plan, callers, hasScarceRetries }: SoakResult,
): string {
  const answered = callers.filter(({ status }) => status === 200);
  const streams = answered.filter(({ kind }) =>
    kind === "stream" || kind === "once"
  );
  const resumed = callers.filter(({ isReturn }) => isReturn);
  const whole = resumed.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  return [
    `${plan.length} faults`,
    ...(plan.some(({ kind }) => kind === partCrashes) ? ["part crashes"] : []),
    ...(hasScarceRetries ? ["few retries"] : []),
    `${callers.length} requests`,
    `${answered.length} answered 200`,
    `${streams.length} streams`,
    ...formatWrongAnswers(findings),
    `${whole.length} of ${resumed.length} resumed streams whole`,
    `${findings.length} findings`,
  ].join(", ");
}

/** Formats how many answers are wrong in which way. */
function formatWrongAnswers(findings: readonly Finding[]): readonly string[] {
  const counts = new Map<OrderBreak | "wrong calls", number>();
  for (const { promise, orderBreak = "wrong calls" } of findings) {
    if (promise !== answerPromise) continue;
    counts.set(orderBreak, (counts.get(orderBreak) ?? 0) + 1);
  }
  return [...counts].map(([kind, count]) => `${count} ${kind}`);
}

const cli = new Cli({ binaryLabel: "soak", binaryName: "soak" });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
void cli.runExit(process.argv.slice(2), Cli.defaultContext);
