/**
 * Program of the soak: `npm run soak -- --seed S --minutes N`.
 *
 * Plays seeds from S on, 30 s each, until the time is over, and ends with code 1
 * when a promise was broken. The logs of such a seed are kept.
 */

import process from "node:process";
import { Builtins, Cli, Command, Option } from "clipanion";
import { type PlantedFault, plantedFaults } from "./faulty_proxy.ts";
import { runSoak } from "./soak_run.ts";

const msPerMinute = 60_000;
const shownFindings = 10;

/** Plays soaks one after the other. */
class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "play faults against the real programs and check promises",
    examples: [
      ["Two minutes from seed 7 on", "npm run soak -- --seed 7 --minutes 2"],
    ],
  });

  seed = Option.String("--seed", "1");
  minutes = Option.String("--minutes", "1");
  seconds = Option.String("--seconds", "30", {
    description: "length of one seed's soak",
  });
  nodes = Option.String("--nodes", "3");
  callers = Option.String("--callers", "12");
  program = Option.String("--program", "target/gateway.cjs");
  plant = Option.String("--plant", {
    description: `a fault to be found: ${plantedFaults.join(", ")}`,
  });

  override async execute(): Promise<number> {
    const planted = plantedFaults.find((fault) => fault === this.plant);
    if (this.plant !== undefined && planted === undefined) {
      this.#write(
        `"${this.plant}" is not a fault; name one of ${
          plantedFaults.join(", ")
        }`,
      );
      return 2;
    }
    const endsAt = performance.now() + Number(this.minutes) * msPerMinute;
    let broken = 0;
    let seed = Number(this.seed);
    do {
      if (!await this.#play(seed, planted)) broken += 1;
      seed += 1;
    } while (performance.now() < endsAt);
    const played = seed - Number(this.seed);
    this.#write(`${played} seeds played, ${broken} with findings`);
    return broken === 0 ? 0 : 1;
  }

  async #play(
    seed: number,
    planted: PlantedFault | undefined,
  ): Promise<boolean> {
    const { findings, plan, callers, folder } = await runSoak({
      seed,
      lengthMs: Number(this.seconds) * 1_000,
      nodes: Number(this.nodes),
      callers: Number(this.callers),
      command: [this.program],
      ...(planted === undefined ? {} : { planted }),
    });
    const served = callers.filter(({ status }) => status === 200).length;
    this.#write(
      `seed ${seed}: ${plan.length} faults, ${callers.length} requests, ${served} answered 200, ${findings.length} findings`,
    );
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

const cli = new Cli({ binaryLabel: "soak", binaryName: "soak" });
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
void cli.runExit(process.argv.slice(2), Cli.defaultContext);
