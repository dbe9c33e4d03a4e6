/** The program's version. */
import {existsSync, readFileSync} from 'node:fs';

/** Read from the nearest package.json in a parent folder, since compiled modules and the bundle have different depths. */
export const {version} = JSON.parse(readFileSync(nearestPackageFile(), 'utf8')) as {readonly version: string};

function nearestPackageFile(): URL {
	let file = new URL('package.json', import.meta.url);
	while (!existsSync(file) && file.pathname !== '/package.json') {
		file = new URL('../package.json', file);
	}

	return file;
}
