/**
 * Structured logs, built on tslog.
 *
 * A line has the prefix of the component, one sentence, and optional structured
 * fields. Keys, bodies and prompts must not be put into fields.
 */

import process from "node:process";
import { type ILogObjMeta, Logger } from "tslog";

/** Severities in ascending order. */
export const logLevels = ["debug", "info", "warn", "error"] as const;
/** Severity of a log line. */
export type LogLevel = (typeof logLevels)[number];

/** Output shape of a log line. */
export type LogFormat = "text" | "json";

/** Structured data of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Log of one component. */
export interface Log {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
  /** Creates a log with another prefix that writes to the same sink. */
  createChild(prefix: string): Log;
}

/** Options of the log sink. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Receives each finished line; standard error by default. */
  readonly write?: (line: string) => void;
}

interface LogLine {
  readonly level: LogLevel;
  readonly prefix: string;
  readonly sentence: string;
  readonly fields: LogFields;
}

function formatText(line: LogLine, time: Date): string {
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => ` ${key}=${JSON.stringify(value)}`).join("");
  const level = line.level.toUpperCase().padEnd(5);
  return `${time.toISOString()} ${level} ${line.prefix}: ${line.sentence}${fields}`;
}

function formatJson(line: LogLine, time: Date): string {
  const { level, prefix, sentence, fields } = line;
  return JSON.stringify({
    time,
    level,
    part: prefix,
    message: sentence,
    ...fields,
  });
}

/** Log that writes through a tslog logger. */
export class TslogLog implements Log {
  readonly #logger: Logger<LogLine>;
  readonly #prefix: string;
  /** Lines of a lower level are dropped before anything is made of them. */
  readonly #minLevelId: number;

  private constructor(
    logger: Logger<LogLine>,
    prefix: string,
    minLevelId: number,
  ) {
    this.#logger = logger;
    this.#prefix = prefix;
    this.#minLevelId = minLevelId;
  }

  static create(prefix: string, options: LogOptions): TslogLog {
    const write = options.write ??
      ((line: string): void => void process.stderr.write(line + "\n"));
    const format = options.format === "json" ? formatJson : formatText;
    const minLevelId = computeLevelId(options.level);
    const logger = new Logger<LogLine>({
      type: "hidden",
      // The code position is not used, and finding it takes most of a line's
      // time.
      hideLogPositionForProduction: true,
      minLevel: minLevelId,
      // A line is only read, so it passes through without a copy of its fields.
      overwrite: {
        mask: (args) => args,
        toLogObj: ([line]) => line as LogLine,
        addMeta: (line) => line as LogLine & ILogObjMeta,
      },
    });
    logger.attachTransport((line) => write(format(line, new Date())));
    return new TslogLog(logger, prefix, minLevelId);
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
    return new TslogLog(this.#logger, prefix, this.#minLevelId);
  }

  #write(level: LogLevel, sentence: string, fields: LogFields): void {
    const levelId = computeLevelId(level);
    if (levelId < this.#minLevelId) return;
    const line: LogLine = { level, prefix: this.#prefix, sentence, fields };
    this.#logger.log(levelId, level, line);
  }
}

/** Creates a log that discards everything, for tests. */
export function createSilentLog(): Log {
  const discard = (): void => {};
  const log: Log = {
    debug: discard,
    info: discard,
    warn: discard,
    error: discard,
    createChild: () => log,
  };
  return log;
}

/** Computes the number of a level on tslog's scale. */
function computeLevelId(level: LogLevel): number {
  return logLevels.indexOf(level) + 2;
}
