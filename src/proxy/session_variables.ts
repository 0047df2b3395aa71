/**
 * The state of a session in the proxy: its settings and its floor, the minimum
 * log position that its reads must see.
 */
import {failure, Failure} from '../core/errors.js';
import {Position} from '../core/position.js';
import {
  applySetting,
  DEFAULT_SETTINGS,
  SessionSettings,
  SettingName,
  showSetting,
} from '../core/request.js';
import {SETTING_PREFIX} from '../core/sql.js';
import {decodeToken, encodeToken} from '../core/token.js';

/**
 * A session's proxy settings and its floor, the minimum log position that reads
 * must see.
 */
export class SessionVariables {
  settings: SessionSettings = DEFAULT_SETTINGS;
  /** The minimum log position that reads must see; undefined until known. */
  floor: Position | undefined;

  private constructor(
    private readonly service: string,
    private readonly tokenSecrets: readonly string[],
  ) {}

  static create(
    service: string,
    tokenSecrets: readonly string[],
  ): SessionVariables {
    return new SessionVariables(service, tokenSecrets);
  }

  /**
   * Applies a SET statement. Ignores settings that don't belong to the proxy.
   */
  apply(name: string, value: string): Failure | undefined {
    if (name === SettingName.session) return this.applyToken(value);
    if (!name.startsWith(SETTING_PREFIX)) return undefined;
    const next = applySetting(this.settings, name, value);
    if ('allowed' in next) {
      return failure(
        'setting_invalid',
        `${name} = '${value}' is not valid; allowed: ${next.allowed}`,
      );
    }
    this.settings = next;
    return undefined;
  }

  /** Returns the value that SHOW answers. */
  show(name: string): string {
    if (name !== SettingName.session) return showSetting(this.settings, name);
    return this.floor ? this.tokenFor(this.floor) : '';
  }

  /** Sets the floor and returns its session token. */
  setFloor(position: Position): string {
    this.floor = position;
    return this.tokenFor(position);
  }

  /** Resets the settings to their defaults; the floor stays. */
  reset(): void {
    this.settings = DEFAULT_SETTINGS;
  }

  private applyToken(text: string): Failure | undefined {
    if (text === '') {
      this.floor = undefined;
      return undefined;
    }
    const decoded = decodeToken(this.tokenSecrets, this.service, text);
    if (decoded.isErr()) return decoded.error;
    this.floor = decoded.value;
    return undefined;
  }

  private tokenFor(floor: Position): string {
    const [secret] = this.tokenSecrets;
    return encodeToken(secret, this.service, floor);
  }
}
