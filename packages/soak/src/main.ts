/**
 * Command line of the soak: `npm run soak -- --seed S --minutes N`.
 *
 * Runs soaks of 30 s with the seeds S, S+1 and so on until the time is over.
 * Exits with code 1 if a promise is broken, and keeps the logs of such a soak.
 */

import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { partCrashes } from "./fault_plan.ts";
import { type PlantedFault, plantedFaults } from "./faulty_proxy.ts";
import { runSoak, type SoakResult } from "./soak_run.ts";

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
    const endsAt = performance.now() + Number(this.minutes) * msPerMinute;
    let broken = 0;
    let seed = Number(this.seed);
    do {
      if (!await this.#runSeed(seed, planted)) broken += 1;
      seed += 1;
    } while (performance.now() < endsAt);
    const played = seed - Number(this.seed);
    this.#write(`${played} seeds run, ${broken} with findings`);
    return broken === 0 ? 0 : 1;
  }

  async #runSeed(
    seed: number,
    planted: PlantedFault | undefined,
  ): Promise<boolean> {
    const result = await runSoak({
      seed,
      lengthMs: Number(this.seconds) * 1_000,
      nodes: Number(this.nodes),
      callers: Number(this.callers),
      command: [this.program],
      ...(planted === undefined ? {} : { planted }),
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
    `${whole.length} of ${resumed.length} resumed streams whole`,
    `${findings.length} findings`,
  ].join(", ");
}

const cli = new Cli({ binaryLabel: "soak", binaryName: "soak" });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
void cli.runExit(process.argv.slice(2), Cli.defaultContext);
