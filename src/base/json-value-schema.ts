/** Schema of JSON values. */
import * as z from 'zod';
import type {JsonValue} from './json-value.js';

/** Accepts any JSON value. */
export const jsonValueSchema = z.json() as z.ZodType<JsonValue>;
