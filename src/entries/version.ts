/** The version of this software. */
import {existsSync, readFileSync} from 'node:fs';

/** From package.json in the nearest folder above: compiled modules and the bundle lie at different depths. */
export const {version} = JSON.parse(readFileSync(nearestPackageFile(), 'utf8')) as {readonly version: string};

function nearestPackageFile(): URL {
	let file = new URL('package.json', import.meta.url);
	while (!existsSync(file) && file.pathname !== '/package.json') {
		file = new URL('../package.json', file);
	}

	return file;
}
