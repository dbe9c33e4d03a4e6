/** The version of the programs. */
import {readFileSync} from 'node:fs';

const packageFile = new URL('../../../package.json', import.meta.url);

/** As package.json has it. */
export const {version} = JSON.parse(readFileSync(packageFile, 'utf8')) as {readonly version: string};
