/**
 * Logs: short sentences with a fixed prefix for each part.
 *
 * Built on tslog. A line is the part's prefix, one sentence, and optional
 * structured fields. Keys, bodies and prompts never go into fields.
 */

import process from "node:process";
import { Logger } from "tslog";

/** Severities in ascending order. */
export const logLevels = ["debug", "info", "warn", "error"] as const;
export type LogLevel = (typeof logLevels)[number];

/** Output shape of a log line. */
export type LogFormat = "text" | "json";

/** Structured data beside the sentence. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes sentences of one part. */
export interface Log {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
  /** Returns a log of the same sink with another prefix. */
  createChild(prefix: string): Log;
}

/** Options of the log sink. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Receives each finished line; standard error by default. */
  readonly write?: (line: string) => void;
}

interface Line {
  readonly level: LogLevel;
  readonly prefix: string;
  readonly sentence: string;
  readonly fields: LogFields;
}

function formatText(line: Line, time: Date): string {
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => ` ${key}=${JSON.stringify(value)}`).join("");
  const level = line.level.toUpperCase().padEnd(5);
  return `${time.toISOString()} ${level} ${line.prefix}: ${line.sentence}${fields}`;
}

function formatJson(line: Line, time: Date): string {
  const { level, prefix, sentence, fields } = line;
  return JSON.stringify({
    time,
    level,
    part: prefix,
    message: sentence,
    ...fields,
  });
}

/** Log on top of one tslog logger. */
export class TslogLog implements Log {
  readonly #logger: Logger<Line>;
  readonly #prefix: string;

  private constructor(logger: Logger<Line>, prefix: string) {
    this.#logger = logger;
    this.#prefix = prefix;
  }

  static create(prefix: string, options: LogOptions): TslogLog {
    const write = options.write ??
      ((line: string): void => void process.stderr.write(line + "\n"));
    const format = options.format === "json" ? formatJson : formatText;
    const logger = new Logger<Line>({
      type: "hidden",
      // Nobody reads the position, and finding it takes most of a line's time.
      hideLogPositionForProduction: true,
      minLevel: levelId(options.level),
    });
    logger.attachTransport((record) => {
      write(format(record as unknown as Line, new Date()));
    });
    return new TslogLog(logger, prefix);
  }

  debug(sentence: string, fields: LogFields = {}): void {
    this.#write("debug", sentence, fields);
  }

  info(sentence: string, fields: LogFields = {}): void {
    this.#write("info", sentence, fields);
  }

  warn(sentence: string, fields: LogFields = {}): void {
    this.#write("warn", sentence, fields);
  }

  error(sentence: string, fields: LogFields = {}): void {
    this.#write("error", sentence, fields);
  }

  createChild(prefix: string): Log {
    return new TslogLog(this.#logger, prefix);
  }

  #write(level: LogLevel, sentence: string, fields: LogFields): void {
    const line: Line = { level, prefix: this.#prefix, sentence, fields };
    this.#logger.log(levelId(level), level.toUpperCase(), line);
  }
}

/** Log that drops everything, for tests. */
export function createSilentLog(): Log {
  const drop = (): void => {};
  const log: Log = {
    debug: drop,
    info: drop,
    warn: drop,
    error: drop,
    createChild: () => log,
  };
  return log;
}

/** Number of a level in tslog's scale. */
function levelId(level: LogLevel): number {
  return logLevels.indexOf(level) + 2;
}
