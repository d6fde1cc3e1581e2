/**
 * `almondcrank load`: open-loop load on one or more sets of nodes.
 */

import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { Command, Option } from "clipanion";
import { Agent } from "undici";
import { parseAddress } from "@almondcrank/common/address.ts";
import { SystemClock } from "@almondcrank/common/clock.ts";
import { formatThrown } from "@almondcrank/common/kind_error.ts";
import {
  computeDurationMs,
  parsePhases,
  type Phase,
} from "@almondcrank/load/arrivals.ts";
import { LoadClient } from "@almondcrank/load/load_client.ts";
import {
  computeReport,
  formatReports,
  type LoadReport,
} from "@almondcrank/load/load_report.ts";
import { formatReportPage } from "@almondcrank/load/load_report_page.ts";
import { type LoadTarget, runLoad } from "@almondcrank/load/load_run.ts";
import {
  parseRequestMix,
  type RequestMix,
} from "@almondcrank/load/request_mix.ts";
import { findInvalidInteger, findInvalidPositive } from "./check_numbers.ts";
import { exitCodes } from "./exit_codes.ts";

const maxRunMs = 3_600_000;
/** Results between two progress messages. */
const progressInterval = 50;

/** Sends a request mix at a given rate and reports outcomes and latencies. */
export class LoadCommand extends Command {
  static override paths = [["load"]];
  static override usage = Command.Usage({
    description: "send a mix of requests at a given rate and report",
    details:
      "Arrivals are open-loop: their times do not depend on the answers, and latency counts from when a request was due. With several --target options the same arrivals run against each in turn, so that policies can be compared.",
    examples: [
      [
        "Thirty seconds at 60 a second after a warm-up",
        "almondcrank load --mix examples/pruefplan/requests.jsonc --phases 60:30s --warm-up 20:5s --target all=127.0.0.1:17200,127.0.0.1:17201",
      ],
    ],
  });

  mix = Option.String("--mix", { required: true });
  phases = Option.String("--phases", "10:10s", {
    description: "RATE:SECONDSs or FROM-TO:SECONDSs, separated by commas",
  });
  warmUp = Option.String("--warm-up", {
    description: "phases that run first and are not reported",
  });
  targets = Option.Array("--target", {
    description: "NAME=ADDRESS,ADDRESS: callers' addresses of nodes",
  });
  seed = Option.String("--seed", "1");
  firstTokenMs = Option.String("--first-token-ms", "1600");
  betweenTokensMs = Option.String("--between-tokens-ms", "32");
  json = Option.Boolean("--json", false);
  html = Option.String("--html", { description: "write a page with plots" });

  override async execute(): Promise<number> {
    const plan = await this.#check();
    if (typeof plan === "string") {
      this.context.stderr.write(`${plan}\n`);
      return exitCodes.invalid;
    }
    const reports: LoadReport[] = [];
    for (const target of plan.targets) {
      reports.push(await this.#measure(target, plan));
    }
    this.context.stdout.write(
      `${this.json ? JSON.stringify(reports) : formatReports(reports)}\n`,
    );
    if (this.html !== undefined) {
      await writeFile(this.html, formatReportPage(reports));
    }
    return reports.some((report) => report.failed > 0)
      ? exitCodes.failed
      : exitCodes.done;
  }

  async #check(): Promise<string | LoadPlan> {
    const targets = (this.targets ?? []).map(parseTarget);
    if (targets.length === 0) {
      return "no target; pass --target NAME=ADDRESS,ADDRESS";
    }
    const invalid = targets.find((target) => typeof target === "string");
    if (typeof invalid === "string") return invalid;
    let text: string;
    const invalidNumber = findInvalidInteger({ "--seed": this.seed }) ??
      findInvalidPositive({
        "--first-token-ms": this.firstTokenMs,
        "--between-tokens-ms": this.betweenTokensMs,
      });
    if (invalidNumber !== undefined) return invalidNumber;
    try {
      text = await readFile(this.mix, "utf8");
    } catch (thrown) {
      return `${formatThrown(thrown)}; name a file that can be read`;
    }
    const parsed = parseRequestMix(this.mix, text).mapLeft((e) => e.message)
      .chain((mix) =>
        parsePhases(this.phases).map((phases) => ({ mix, phases }))
      ).chain((rest) =>
        parsePhases(this.warmUp ?? "0:0s").map((warmUp) => ({
          ...rest,
          warmUp,
        }))
      );
    if (parsed.isLeft()) return String(parsed.extract());
    const { mix, phases, warmUp } = parsed.unsafeCoerce();
    if (computeDurationMs(phases) > maxRunMs) {
      return "phases last longer than an hour; shorten them";
    }
    return { mix, phases, warmUp, targets: targets as LoadTarget[] };
  }

  async #measure(
    target: LoadTarget,
    plan: LoadPlan,
  ): Promise<LoadReport> {
    const clock = SystemClock.create();
    const agent = new Agent({ connections: null, pipelining: 1 });
    const client = LoadClient.create(clock, agent);
    const seed = Number(this.seed);
    const common = { target, mix: plan.mix, client, clock };
    await runLoad({ ...common, phases: plan.warmUp, seed: seed + 1 });
    const results = await runLoad({
      ...common,
      phases: plan.phases,
      seed,
      onProgress: (count) => this.#writeProgress(target.name, count),
    });
    await agent.close();
    return computeReport(target.name, results, {
      firstTokenMs: Number(this.firstTokenMs),
      betweenTokensMs: Number(this.betweenTokensMs),
    });
  }

  #writeProgress(target: string, count: number): void {
    if (!process.stderr.isTTY || count % progressInterval !== 0) return;
    process.stderr.write(`\r${target}: ${count} results`);
  }
}

interface LoadPlan {
  readonly mix: RequestMix;
  readonly phases: readonly Phase[];
  readonly warmUp: readonly Phase[];
  readonly targets: readonly LoadTarget[];
}

/** Parses `NAME=ADDRESS,ADDRESS`; a returned string is an error message. */
function parseTarget(text: string): LoadTarget | string {
  const [name, list] = text.split("=");
  const nodes = (list ?? "").split(",");
  if (name === undefined || nodes.some((n) => parseAddress(n) === undefined)) {
    return `"${text}" is not a target; write NAME=127.0.0.1:17200,127.0.0.1:17201`;
  }
  return { name, nodes };
}
